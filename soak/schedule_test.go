package soak

import (
	"context"
	"sync"
	"time"
)

const (
	// scheduleProbeInterval separates two measurements of how late a timer of the test process
	// fires; delays above scheduleDelayLimit are logged.
	scheduleProbeInterval = 50 * time.Millisecond
	scheduleDelayLimit    = 250 * time.Millisecond
)

// logScheduleDelays logs when the test process, in which the store, the endpoints and the proxies
// run, lacks processor time: they then look silent to the routers.
func (d *deployment) logScheduleDelays() {
	ctx, cancel := context.WithCancel(context.Background())
	var probing sync.WaitGroup
	probing.Go(func() {
		for ctx.Err() == nil {
			due := time.Now().Add(scheduleProbeInterval)
			time.Sleep(scheduleProbeInterval)
			if delay := time.Since(due); delay > scheduleDelayLimit {
				d.t.Logf("%8s test process short of processor time: %s", d.elapsed().Round(time.Millisecond), delay.Round(time.Millisecond))
			}
		}
	})
	d.t.Cleanup(func() {
		cancel()
		probing.Wait()
	})
}

// Package scheduling is the module "scheduling": it measures how late the process's
// timers fire. The delay shows when the process has too little processor time, which
// otherwise looks like slow endpoints, routers or callers.
package scheduling

import (
	"context"
	"runtime"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/modules/admin"
	"github.com/arbutusline/arbutusline/settings"
)

// Name is the name of the module.
const Name = "scheduling"

const (
	// probeInterval is the time between two measurements.
	probeInterval = 100 * time.Millisecond
	// quietProbes is the number of consecutive delays below the limit after which the
	// process counts as having enough processor time: a second.
	quietProbes = 10
)

func init() {
	arbutusline.Register(func() arbutusline.Module {
		return &Scheduling{DelayLimit: settings.Duration(200 * time.Millisecond)}
	})
}

// Scheduling measures the scheduling delay of the process.
type Scheduling struct {
	// DelayLimit is the scheduling delay from which the process counts as short of
	// processor time. Default 200ms: the end of a caller's connection has to reach the
	// endpoint within half a second, through several goroutines.
	DelayLimit settings.Duration `json:"delay_limit"`

	log        *logrus.Entry
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	shortage   shortage
	delays     prometheus.Histogram
}

// shortage is a period in which the process is short of processor time.
type shortage struct {
	active   bool
	since    time.Time
	maxDelay time.Duration
	// quiet counts the consecutive delays below the limit.
	quiet int
}

// ModuleName returns "scheduling".
func (s *Scheduling) ModuleName() string { return Name }

// Provision registers the metric.
func (s *Scheduling) Provision(k *arbutusline.Kernel) error {
	s.log = k.Log.WithField("module", Name)
	a, err := arbutusline.Lookup[*admin.Admin](k, admin.Name)
	if err != nil {
		return err
	}
	s.delays = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "arbutus_scheduling_delay_seconds", Help: "How late timers of the process fire.",
		Buckets: prometheus.ExponentialBuckets(0.001, 3, 8),
	})
	a.Registry().MustRegister(s.delays)
	return nil
}

// Validate checks the settings.
func (s *Scheduling) Validate() error {
	if s.DelayLimit <= 0 {
		return errors.New("delay_limit must be positive")
	}
	return nil
}

// Start starts the measurements.
func (s *Scheduling) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.goroutines.Go(func() { s.run(ctx) })
	return nil
}

// Stop ends the measurements.
func (s *Scheduling) Stop(context.Context) error {
	if s.cancel != nil {
		s.cancel()
	}
	s.goroutines.Wait()
	return nil
}

func (s *Scheduling) run(ctx context.Context) {
	t := time.NewTimer(probeInterval)
	defer t.Stop()
	for {
		due := time.Now().Add(probeInterval)
		t.Reset(probeInterval)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		s.observe(now, now.Sub(due))
	}
}

// observe records a delay and logs the begin and the end of a shortage.
func (s *Scheduling) observe(now time.Time, delay time.Duration) {
	s.delays.Observe(delay.Seconds())
	p := &s.shortage
	if delay < s.DelayLimit.AsDuration() {
		if p.quiet++; p.active && p.quiet >= quietProbes {
			s.log.WithFields(logrus.Fields{
				"for_ms": now.Sub(p.since).Milliseconds(), "max_delay_ms": p.maxDelay.Milliseconds(), "cpu_ms": processorTime().Milliseconds(),
			}).Info("process has enough processor time again")
			*p = shortage{}
		}
		return
	}
	p.quiet, p.maxDelay = 0, max(p.maxDelay, delay)
	if !p.active {
		p.active, p.since = true, now
		s.log.WithFields(logrus.Fields{
			"delay_ms": delay.Milliseconds(), "cpu_ms": processorTime().Milliseconds(), "goroutines": runtime.NumGoroutine(),
		}).Warn("process short of processor time")
	}
}

// processorTime returns the processor time that the process has used, or 0 if the system
// does not tell it.
func processorTime() time.Duration {
	var usage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

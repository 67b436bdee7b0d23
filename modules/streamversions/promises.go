package streamversions

import (
	"time"

	"github.com/arbutusline/arbutusline/decision/versionpin"
	"github.com/arbutusline/arbutusline/internal/bootclock"
)

// Promises promises to another router that this one changes no tables for some time. It returns
// the newest table that this router knows of each service, and none while it reaches the store.
func (v *StreamVersions) Promises() map[string]versionpin.Promise {
	unreachable := v.directory.StoreUnreachable()
	v.mu.Lock()
	defer v.mu.Unlock()
	out := map[string]versionpin.Promise{}
	for name, s := range v.services {
		now := bootclock.Now()
		failed := s.readFailedAt > 0 && now-s.readFailedAt < 2*storeCheckInterval
		if s.writing || !unreachable && !failed {
			continue
		}
		if p, ok := s.machine.GivePromise(now); ok {
			out[name] = p
		}
	}
	return out
}

// ObservePromises records the promises of another router to a call that began at a time.
func (v *StreamVersions) ObservePromises(router string, begin time.Duration, promises map[string]versionpin.Promise) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for name, p := range promises {
		if s := v.services[name]; s != nil {
			s.machine.ObservePromise(router, begin, p)
		}
	}
}

// CheckStore checks whether this router reaches the store, because another one does not.
func (v *StreamVersions) CheckStore() {
	now, last := bootclock.Now(), v.checkedStoreAt.Load()
	if now-time.Duration(last) >= storeCheckInterval && v.checkedStoreAt.CompareAndSwap(last, int64(now)) {
		v.readTables(func(*service) bool { return true })
	}
}

// confirm reads the tables that this process has not read yet, and all of them after a time
// without contact with the store or another router.
func (v *StreamVersions) confirm() {
	now, last := bootclock.Now(), v.checkedStoreAt.Load()
	if now-time.Duration(last) < storeCheckInterval {
		return
	}
	inTouch := v.directory.InTouch(confirmInterval)
	if v.readTables(func(s *service) bool { return !s.machine.Confirmed() || !inTouch }) {
		v.checkedStoreAt.CompareAndSwap(last, int64(now))
	}
}

// readTables reads tables in the background and reports whether there are any to read.
func (v *StreamVersions) readTables(wanted func(*service) bool) bool {
	v.mu.Lock()
	var services []*service
	for _, s := range v.services {
		if wanted(s) {
			services = append(services, s)
		}
	}
	v.mu.Unlock()
	for _, s := range services {
		v.goroutines.Go(func() {
			_ = s.tableRead.do(v.ctx, &v.goroutines, func() error { return v.readTable(s) }) // The machine knows whether it succeeded.
		})
	}
	return len(services) > 0
}

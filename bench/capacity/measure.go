// Package capacity measures what one unit of load costs in each part of the
// product (an endpoint, a cached block, a rule line, a member, a message, a
// token) and computes from these slopes what each role costs at the target
// scale. Counts of bytes, messages and objects are the same on every run;
// processor times and heap sizes are reported as measured.
package capacity

import (
	"math"
	"runtime"
	"sort"
	"syscall"
	"time"
)

// Kinds of slopes.
const (
	// KindCount marks a figure that is the same on every run.
	KindCount = "count"
	// KindMeasured marks a processor time or heap size of this run.
	KindMeasured = "measured"
)

// Slope is one measured figure.
type Slope struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	Kind  string  `json:"kind"`
	// At says at which sizes the figure was measured.
	Conditions string `json:"at"`
}

// Slopes are the figures of one run, in a fixed order.
type Slopes []Slope

// Get returns the value of a slope and whether it is known.
func (s Slopes) Get(name string) (float64, bool) {
	for i := range s {
		if s[i].Name == name {
			return s[i].Value, true
		}
	}
	return 0, false
}

func (s *Slopes) addCount(name string, value float64, unit, at string) {
	*s = append(*s, Slope{name, roundToFourDigits(value), unit, KindCount, at})
}

func (s *Slopes) addMeasured(name string, value float64, unit, at string) {
	*s = append(*s, Slope{name, roundToFourDigits(value), unit, KindMeasured, at})
}

// roundFigure rounds to four significant digits, so that a figure that is printed
// and read again is the same.
func roundToFourDigits(v float64) float64 {
	if v == 0 || math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	scale := math.Pow(10, 3-math.Floor(math.Log10(math.Abs(v))))
	return math.Round(v*scale) / scale
}

// Measure runs all measurements that need no other process.
func Measure() (Slopes, error) {
	var s Slopes
	for _, f := range []func(*Slopes) error{
		measurePlacement, measureCache, measureRules, measureMembership, measureLedger, measureAttempts,
	} {
		if err := f(&s); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// heapOf returns the bytes of live heap that build adds and returns with its
// result.
func addedHeapBytes(build func() any) float64 {
	before := liveHeapBytes()
	kept := build()
	after := liveHeapBytes()
	runtime.KeepAlive(kept)
	return after - before
}

func liveHeapBytes() float64 {
	// The second collection frees what finalizers of the first one released.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// rounds is the number of times that a processor time is measured; the median
// counts.
const cpuTimeRounds = 5

// microsOf returns the processor time of one call of f in microseconds,
// garbage collection included.
func cpuMicrosPerCall(calls int, f func(i int)) float64 {
	times := make([]float64, cpuTimeRounds)
	for r := range times {
		runtime.GC()
		start := processCPUTime()
		for i := range calls {
			f(r*calls + i)
		}
		times[r] = float64(processCPUTime()-start) / float64(time.Microsecond) / float64(calls)
	}
	sort.Float64s(times)
	return times[cpuTimeRounds/2]
}

// allocsOf returns the heap objects that one call of f allocates.
func allocsPerCall(calls int, f func(i int)) float64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range calls {
		f(i)
	}
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs-before.Mallocs) / float64(calls)
}

// processTime returns the processor time that this process has used.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

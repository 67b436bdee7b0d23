// Package capacity measures the cost of one unit of load (an endpoint, a cached block, a
// rule line, a member, a message, a token) in each part of arbutusline. From these slopes
// it computes the cost of each role at the target scale. Counts of bytes, messages and
// objects are the same on every run; processor times and heap sizes are measurements that
// vary.
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
	// KindCount marks a value that is the same on every run.
	KindCount = "count"
	// KindMeasured marks a processor time or memory size, which varies between runs.
	KindMeasured = "measured"
)

// Slope is a cost per unit of load, or a count on which costs depend.
type Slope struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	Kind  string  `json:"kind"`
	// Conditions describes the sizes and load of the measurement.
	Conditions string `json:"at"`
}

// Slopes are the results of one run of the benchmark, in a fixed order.
type Slopes []Slope

// Get returns the value of a slope and whether it exists.
func (s Slopes) Get(name string) (float64, bool) {
	for i := range s {
		if s[i].Name == name {
			return s[i].Value, true
		}
	}
	return 0, false
}

func (s *Slopes) addCount(name string, value float64, unit, conditions string) {
	*s = append(*s, Slope{name, roundToFourDigits(value), unit, KindCount, conditions})
}

func (s *Slopes) addMeasured(name string, value float64, unit, conditions string) {
	*s = append(*s, Slope{name, roundToFourDigits(value), unit, KindMeasured, conditions})
}

// roundToFourDigits rounds to four significant digits, so that a value is the same after
// it is printed and parsed. It returns 0 for NaN and infinities.
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

// addedHeapBytes returns the size of the live heap that the result of build occupies.
func addedHeapBytes(build func() any) float64 {
	before := liveHeapBytes()
	kept := build()
	after := liveHeapBytes()
	runtime.KeepAlive(kept)
	return after - before
}

func liveHeapBytes() float64 {
	// The second collection frees objects whose finalizers ran after the first one.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// cpuTimeRounds is how often cpuMicrosPerCall measures; it returns the median.
const cpuTimeRounds = 5

// cpuMicrosPerCall returns the processor time of one call of f in microseconds, garbage
// collection included.
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

// allocsPerCall returns the number of heap objects that one call of f allocates.
func allocsPerCall(calls int, f func(i int)) float64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range calls {
		f(i)
	}
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs-before.Mallocs) / float64(calls)
}

// processCPUTime returns the user and system time of this process, 0 on error.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

package ingress

import (
	"sync"
	"time"
)

// linesPerSecond bounds the lines about requests that went well at the first
// try. Failures are always logged.
const maxLinesPerSecond = 100

// sampler limits lines a second and counts those left out.
type sampler struct {
	mu      sync.Mutex
	second  int64
	allowed int
	omitted int
}

// take reports whether a line may be written now, and how many were left out
// since the last one.
func (s *sampler) allow(now time.Time) (ok bool, omitted int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := now.Unix(); second != s.second {
		s.second, s.allowed = second, 0
	}
	if s.allowed >= maxLinesPerSecond {
		s.omitted++
		return false, 0
	}
	s.allowed++
	omitted, s.omitted = s.omitted, 0
	return true, omitted
}

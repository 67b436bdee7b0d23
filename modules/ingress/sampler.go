package ingress

import (
	"sync"
	"time"
)

// maxLinesPerSecond bounds the log lines about requests served by the first attempt.
// Failures are always logged.
const maxLinesPerSecond = 100

// sampler limits the number of log lines per second and counts the omitted ones.
type sampler struct {
	mu sync.Mutex
	// second is the Unix time to which allowed applies.
	second  int64
	allowed int
	omitted int
}

// allow reports whether a line may be written now and, if so, how many were omitted
// since the last written line.
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

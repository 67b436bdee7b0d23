package bytebudget

// Size estimates the length of the next response from those before. The zero value expects
// nothing. It has the moving average of the length and of its deviation, with the weights of
// RFC 6298.
type Size struct{ mean, deviation float64 }

// Observe returns the estimate after a response of a length in bytes.
func (s Size) Observe(bytes int) Size {
	n := float64(bytes)
	if s == (Size{}) {
		return Size{n, n / 2}
	}
	s.deviation += (max(n-s.mean, s.mean-n) - s.deviation) / 4
	s.mean += (n - s.mean) / 8
	return s
}

// Expected returns a length in bytes that few responses exceed.
func (s Size) Expected() int { return int(s.mean + 4*s.deviation) }

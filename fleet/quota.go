package fleet

// QuotaUnit is what a quota counts.
type QuotaUnit int

// Units of quotas.
const (
	// UnitRequests counts each request as 1.
	UnitRequests QuotaUnit = iota
	// UnitTokens counts prompt tokens and the maximum of output tokens.
	UnitTokens
)

// String returns the name of the unit in the configuration.
func (u QuotaUnit) String() string {
	if u == UnitTokens {
		return "tokens"
	}
	return "requests"
}

// Quota is a limit of a team at all routers together.
type Quota struct {
	// Rate is in units per second and positive. Burst is in units.
	Rate, Burst float64
	Unit        QuotaUnit
	// UncachedTokens is what a request counts that does not state its tokens, if the unit is
	// tokens.
	UncachedTokens float64
}

// Units returns what a request counts. Tokens is the sum of the prompt tokens and the maximum of output
// tokens that it states, if any.
func (q *Quota) Units(tokens int, stated bool) float64 {
	switch {
	case q.Unit == UnitRequests:
		return 1
	case stated:
		return float64(tokens)
	}
	return q.UncachedTokens
}

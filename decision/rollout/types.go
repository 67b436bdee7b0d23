// Package rollout brings engines to the weights version that the rules want.
// It is a pure state machine. One router at a time holds the lease
// "lease/orders" with a rising fencing token. The holder writes each step to
// the object "rollout/<model>" before it sends the order, and every write is
// conditional, so that
//
//   - a holder that was paused past its lease cannot record another step once
//     its successor has rewritten the record, and
//   - every order that may still be under way is in the record that the
//     successor reads; it counts as a running load until the agent has
//     confirmed the successor's token.
//
// The lease only keeps holders from disturbing each other; safety rests on the
// records and tokens and not on clocks.
package rollout

import (
	"time"
)

// LeaseKey is the object that names the holder.
const LeaseKey = "lease/orders"

// RecordPrefix is followed by the model name.
const RecordKeyPrefix = "rollout/"

// Lease is the value of the lease object.
type Lease struct {
	Holder string `json:"holder"`
	// Token rises with each new holder.
	FencingToken uint64 `json:"token"`
	// WriteID is unique to each write, so that a write whose answer was lost
	// can be recognised.
	WriteID string `json:"write_id"`
}

// Record is the progress of a rollout.
type Record struct {
	Model          string `json:"model"`
	WeightsVersion string `json:"version"`
	FencingToken   uint64 `json:"token"`
	WriteID        string `json:"write_id"`
	// Steps are the orders that may be under way, by endpoint.
	Steps map[string]Step `json:"steps"`
	// Halted is the reason for which the rollout stopped by itself.
	HaltReason string `json:"halted,omitempty"`
	// RulesVersion is the version of the rules at which it halted; a later
	// change of the rollout rule starts it again.
	HaltRulesVersion uint64 `json:"rules_version,omitempty"`
	// Rule is the rollout rule that the record follows.
	RuleText string `json:"rule"`
}

// Step is an order that was recorded and not yet seen to be complete.
type Step struct {
	WeightsVersion string `json:"version"`
	// Incarnation is that of the engine when the step was recorded.
	EngineIncarnation uint64 `json:"incarnation"`
}

// Observation is what an agent reports about its engine.
type Observation struct {
	ObservedAt time.Duration
	// Up means that the engine serves; a loading engine does not.
	Serving bool
	// FailedToken is the token of the engine's last order when that order
	// failed, otherwise 0.
	FailedFencingToken uint64
	WeightsVersion     string
	EngineIncarnation  uint64
}

// Kind is the kind of an order, named as in the engine's API.
type OrderKind string

// Kinds of order. The rollout rule plans KindWeights only.
const (
	KindLoadWeights   OrderKind = "load_weights"
	KindLoadAdapter   OrderKind = "load_adapter"
	KindUnloadAdapter OrderKind = "unload_adapter"
	KindSetRole       OrderKind = "set_role"
)

// Order is sent to the agent of an endpoint. Repeating it has no effect.
type Order struct {
	Endpoint       string
	FencingToken   uint64
	Kind           OrderKind
	Model          string
	WeightsVersion string
	// Incarnation is the engine that the order is for. An order that arrives
	// after the engine restarted has no effect.
	EngineIncarnation uint64
}

// OrderResult is an agent's answer.
type OrderResult int

// Answers to an order.
const (
	// Accepted means that the agent keeps the token and the engine took the
	// order or has done it before.
	OrderAccepted OrderResult = iota
	// Stale means that the agent or the engine has seen a higher token.
	OrderTokenStale
	// Rejected means that the engine refused or failed the order.
	OrderRejected
	// Gone means that the engine has another incarnation. The agent keeps the
	// token.
	OrderEngineRestarted
	// Unreachable means that the outcome is not known.
	OrderOutcomeUnknown
)

// StoreOp is a call of the object API. Value is nil for a read.
type StoreCall struct {
	ID              uint64
	Key             string
	Value           []byte
	ExpectedVersion uint64
}

// StoreOutcome is the result of a StoreOp.
type StoreResult int

// Results of store calls. Unknown covers lost answers and failures after which
// a write may have taken effect.
const (
	StoreOK StoreResult = iota
	StoreNotFound
	StoreConflict
	StoreOutcomeUnknown
)

// Actions is what the process is to do.
type Actions struct {
	// Store is set when a call is to be made. End it with StoreDone.
	StoreCall *StoreCall
	// Orders are to be sent to agents. End each with OrderDone.
	Orders []Order
	// Observe are the endpoints whose state is to be read.
	ObserveEndpoints []string
}

// Config holds the constants. Zero fields take defaults.
type Config struct {
	// Name is the name of the router, unique with Incarnation.
	RouterName        string
	RouterIncarnation uint64
	// LeaseTime is how long others leave an unchanged lease alone. Default
	// 10 s.
	LeaseDuration time.Duration
	// Renew is the time between renewals and between looks at the lease of
	// another holder. Default 3 s.
	RenewInterval time.Duration
	// Period is the time between two looks at the plan. Default 500 ms.
	PlanInterval time.Duration
	// Fresh is the age up to which an observation counts. Default 3 s.
	ObservationMaxAge time.Duration
	// Resend is the time after which an unanswered order is sent again.
	// Default 2 s.
	ResendInterval time.Duration
	// StepTimeout is the time after which a step that did not reach its
	// version halts the rollout. Default 2 min.
	StepTimeout time.Duration
	// Settle is how long an engine must serve the new version before its step
	// counts as complete. Default 5 s.
	MinServingTime time.Duration
}

func (c Config) withDefaults() Config {
	defaultDuration := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	defaultDuration(&c.LeaseDuration, 10*time.Second)
	defaultDuration(&c.RenewInterval, 3*time.Second)
	defaultDuration(&c.PlanInterval, 500*time.Millisecond)
	defaultDuration(&c.ObservationMaxAge, 3*time.Second)
	defaultDuration(&c.ResendInterval, 2*time.Second)
	defaultDuration(&c.StepTimeout, 2*time.Minute)
	defaultDuration(&c.MinServingTime, 5*time.Second)
	return c
}

// Guard is the agent's memory of the highest fencing token. It protects
// engines that ignore tokens.
type TokenGuard struct {
	highestToken uint64
	tokenLearned bool
}

// Verdict is what a Guard says about an order.
type TokenVerdict int

// Verdicts of a Guard.
const (
	// Pass lets the order through.
	PassOrder TokenVerdict = iota
	// Refuse means that a higher token was seen.
	RefuseOrder
	// AskStore means that the agent restarted and must call Learned with the
	// token of the lease object before it may pass an order.
	ReadLeaseFirst
)

// Check judges the token of an order and remembers it when it passes.
func (g *TokenGuard) CheckToken(token uint64) TokenVerdict {
	switch {
	case !g.tokenLearned:
		return ReadLeaseFirst
	case token < g.highestToken:
		return RefuseOrder
	}
	g.highestToken = token
	return PassOrder
}

// Learned takes the token of the lease object.
func (g *TokenGuard) LearnToken(token uint64) {
	g.tokenLearned = true
	g.highestToken = max(g.highestToken, token)
}

// Highest returns the highest token seen, 0 when there is none.
func (g *TokenGuard) HighestToken() uint64 { return g.highestToken }

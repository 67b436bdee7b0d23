// Package rollout changes engines to the weights version that the rules name. It
// is a state machine without I/O. One router at a time holds the lease
// "lease/orders" with an increasing fencing token. The holder writes each step
// to the object "rollout/<model>" before it sends the order, and every write is
// conditional, so that
//
//   - a holder that was paused past its lease cannot record another step once
//     its successor has rewritten the record, and
//   - every order that may still be in flight is in the record that the
//     successor reads; its weights load counts as running until the agent has
//     confirmed the successor's token.
//
// The lease only keeps routers from competing with each other. Safety depends
// on the records and fencing tokens, not on clocks.
package rollout

import (
	"time"
)

// LeaseKey is the key of the lease object.
const LeaseKey = "lease/orders"

// RecordKeyPrefix, followed by the model name, is the key of a Record.
const RecordKeyPrefix = "rollout/"

// Lease is the value of the lease object.
type Lease struct {
	Holder string `json:"holder"`
	// FencingToken is increased by each new holder, and by the holder when a
	// rollout rule changes while orders of the old rule may be in flight.
	FencingToken uint64 `json:"token"`
	// WriteID is unique to each write, so that a write whose response was lost
	// can be recognised.
	WriteID string `json:"write_id"`
}

// Record is the stored progress of a rollout.
type Record struct {
	Model          string `json:"model"`
	WeightsVersion string `json:"version"`
	FencingToken   uint64 `json:"token"`
	WriteID        string `json:"write_id"`
	// Steps are the orders that may be in flight, by endpoint.
	Steps map[string]Step `json:"steps"`
	// HaltReason is why the rollout was halted; empty while it runs.
	HaltReason string `json:"halted,omitempty"`
	// HaltRulesVersion is the version of the rules at which the rollout was halted. A
	// later change of the rollout rule restarts it.
	HaltRulesVersion uint64 `json:"rules_version,omitempty"`
	// RuleText identifies the rollout rule that the record follows.
	RuleText string `json:"rule"`
}

// Step is the change of one engine, recorded before its order is sent and
// removed when the change is complete.
type Step struct {
	WeightsVersion string `json:"version"`
	// EngineIncarnation is the engine's incarnation when the step was recorded.
	EngineIncarnation uint64 `json:"incarnation"`
}

// Observation is the state of an engine as its agent reports it.
type Observation struct {
	ObservedAt time.Duration
	// Serving means that the engine accepts requests. An engine that loads weights
	// accepts none.
	Serving bool
	// FailedFencingToken is the token of the engine's last order if that order
	// failed, otherwise 0.
	FailedFencingToken uint64
	WeightsVersion     string
	EngineIncarnation  uint64
}

// OrderKind is the kind of an order, named as in the engine's API.
type OrderKind string

// Kinds of order. Rollouts only send KindLoadWeights.
const (
	KindLoadWeights   OrderKind = "load_weights"
	KindLoadAdapter   OrderKind = "load_adapter"
	KindUnloadAdapter OrderKind = "unload_adapter"
	KindSetRole       OrderKind = "set_role"
)

// Order is a command to the agent of an endpoint. It is idempotent.
type Order struct {
	Endpoint       string
	FencingToken   uint64
	Kind           OrderKind
	Model          string
	WeightsVersion string
	// EngineIncarnation is the incarnation of the engine that the order is for.
	// An order that arrives after the engine restarted has no effect.
	EngineIncarnation uint64
}

// OrderResult is an agent's response to an order.
type OrderResult int

// Results of an order.
const (
	// OrderAccepted means that the agent remembers the token and the engine
	// accepted the order or had already executed it.
	OrderAccepted OrderResult = iota
	// OrderFencingTokenStale means that the agent or the engine has seen a
	// higher fencing token.
	OrderFencingTokenStale
	// OrderRejected means that the engine rejected the order or failed to
	// execute it.
	OrderRejected
	// OrderEngineRestarted means that the engine has another incarnation. The
	// agent remembers the token.
	OrderEngineRestarted
	// OrderOutcomeUnknown means that the agent was unreachable or could not
	// tell the outcome.
	OrderOutcomeUnknown
)

// StoreCall is a call to the object store: a read if Value is nil, otherwise a
// write that succeeds only if the object has ExpectedVersion.
type StoreCall struct {
	ID              uint64
	Key             string
	Value           []byte
	ExpectedVersion uint64
}

// StoreResult is the result of a StoreCall.
type StoreResult int

// Results of store calls. StoreOutcomeUnknown covers lost responses and failures
// after which a write may have taken effect.
const (
	StoreOK StoreResult = iota
	StoreNotFound
	StoreConflict
	StoreOutcomeUnknown
)

// Actions are the store call, orders and observations that the state machine asks
// for.
type Actions struct {
	// StoreCall is the call to make, or nil. Report its result with
	// HandleStoreResult.
	StoreCall *StoreCall
	// Orders are to be sent to agents. Report each result with
	// HandleOrderResult.
	Orders []Order
	// ObserveEndpoints are the endpoints whose engine state is to be read.
	// Report it with HandleObservation.
	ObserveEndpoints []string
}

// Config configures a StateMachine. Zero durations take their defaults.
type Config struct {
	// RouterName and RouterIncarnation together identify one run of the router.
	RouterName        string
	RouterIncarnation uint64
	// LeaseDuration is how long a lease must be unchanged before another router
	// takes it over. Default 10 s.
	LeaseDuration time.Duration
	// RenewInterval is the time between renewals, and the mean time between
	// reads of another router's lease. Default 3 s.
	RenewInterval time.Duration
	// PlanInterval is the time between two runs of Tick. Default 500 ms.
	PlanInterval time.Duration
	// ObservationMaxAge is the age up to which an observation is used. Default
	// 3 s.
	ObservationMaxAge time.Duration
	// ResendInterval is the time after which an unconfirmed order is sent
	// again. Default 2 s.
	ResendInterval time.Duration
	// StepTimeout is the time after which an incomplete step halts the rollout.
	// Default 2 min.
	StepTimeout time.Duration
	// MinServingTime is how long an engine must serve the new version before
	// its step is complete. Default 5 s.
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

// FencingTokenGuard remembers the highest fencing token that an agent has seen. It
// protects engines that ignore fencing tokens.
type FencingTokenGuard struct {
	highestToken uint64
	tokenLearned bool
}

// FencingTokenVerdict is the result of CheckToken.
type FencingTokenVerdict int

// Results of CheckToken.
const (
	// PassOrder means that the order may be delivered to the engine.
	PassOrder FencingTokenVerdict = iota
	// RefuseOrder means that a higher token was seen before.
	RefuseOrder
	// ReadLeaseFirst means that the agent has just started and must call
	// LearnToken with the token of the lease object before it delivers orders.
	ReadLeaseFirst
)

// CheckToken decides on an order by its token and remembers the token if the
// order passes.
func (g *FencingTokenGuard) CheckToken(token uint64) FencingTokenVerdict {
	switch {
	case !g.tokenLearned:
		return ReadLeaseFirst
	case token < g.highestToken:
		return RefuseOrder
	}
	g.highestToken = token
	return PassOrder
}

// LearnToken records the token of the lease object.
func (g *FencingTokenGuard) LearnToken(token uint64) {
	g.tokenLearned = true
	g.highestToken = max(g.highestToken, token)
}

// HighestToken returns the highest token seen, or 0.
func (g *FencingTokenGuard) HighestToken() uint64 { return g.highestToken }

package rollout

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/arbutusline/arbutusline/rules"
)

// plan does the next thing for the rollouts of the rules, which run one after
// the other because they share the weight store.
func (m *StateMachine) planRollouts(now time.Duration) {
	stepsOpen := false
	for _, r := range m.rulesView.Rollouts() {
		for _, e := range m.rulesView.Targets(rules.KindModel, r.Model) {
			m.actions.ObserveEndpoints = append(m.actions.ObserveEndpoints, e.Name)
		}
		h := m.records[r.Model]
		if h == nil {
			// The rule is newer than the lease: read its record first.
			m.phase, m.modelsToRead = readingRecords, []string{r.Model}
			m.readNextRecord(now)
			return
		}
		if h.FencingToken == m.lease.FencingToken && h.RuleText != ruleText(r) && len(h.Steps) > 0 {
			// Late orders of the changed rule must be refused from now on.
			next := m.lease
			next.FencingToken++
			m.writeLease(now, next, func(time.Duration) {})
			return
		}
		if h.FencingToken != m.lease.FencingToken || h.RuleText != ruleText(r) {
			m.rewriteRecord(now, h, r)
			return
		}
		m.resendOrders(now, h)
		if m.completeSteps(now, h, r) || m.haltOnFailure(now, h, r) {
			return
		}
		if !stepsOpen && h.HaltReason == "" && m.startSteps(now, h, r) {
			return
		}
		stepsOpen = stepsOpen || len(h.Steps) > 0
	}
}

// ruleText identifies a rule, so that an edit of it starts a halted rollout
// again.
func ruleText(r rules.Rollout) string {
	return fmt.Sprintf("%s version %s loads %d keep %d%%", r.Model, r.Version, r.Loads, r.KeepPercent)
}

// adopt rewrites the record under the own token or for a changed rule. Orders
// that may be under way stay in it. The rewrite makes every later write of an
// earlier holder fail.
func (m *StateMachine) rewriteRecord(now time.Duration, h *storedRecord, r rules.Rollout) {
	next := h.Record
	if next.RuleText != ruleText(r) {
		next.HaltReason, next.HaltRulesVersion = "", 0
	}
	next.Model, next.WeightsVersion, next.RuleText, next.FencingToken = r.Model, r.Version, ruleText(r), m.lease.FencingToken
	m.saveRecord(now, r.Model, next, func(time.Duration) {})
}

// save writes a record and then puts it in force.
func (m *StateMachine) saveRecord(now time.Duration, model string, next Record, then func(now time.Duration)) {
	h := m.records[model]
	next.WriteID = m.newWriteID()
	next.Steps = cloneSteps(next.Steps)
	value, _ := json.Marshal(next)
	m.writeObject(now, RecordKeyPrefix+model, value, next.WriteID, h.storeVersion, func(now time.Duration, version uint64) {
		m.records[model] = &storedRecord{Record: next, storeVersion: version}
		then(now)
	})
}

func cloneSteps(steps map[string]Step) map[string]Step {
	out := make(map[string]Step, len(steps))
	for k, v := range steps {
		out[k] = v
	}
	return out
}

// send sends or repeats the order of a recorded step while the lease holds.
func (m *StateMachine) sendOrder(now time.Duration, endpoint, model, version string, incarnation uint64) {
	if now >= m.leaseValidUntil {
		return
	}
	s := m.sentOrders[endpoint]
	if s == nil || s.order.WeightsVersion != version || s.order.FencingToken != m.lease.FencingToken {
		s = &sentOrder{firstSentAt: now}
		m.sentOrders[endpoint] = s
	}
	s.order = Order{
		Endpoint: endpoint, FencingToken: m.lease.FencingToken, Kind: KindLoadWeights,
		Model: model, WeightsVersion: version, EngineIncarnation: incarnation,
	}
	s.lastSentAt = now
	m.actions.Orders = append(m.actions.Orders, s.order)
}

// resend repeats orders without an answer, and those that an earlier holder
// recorded: only the confirmation of the own token makes sure that no older
// order follows.
func (m *StateMachine) resendOrders(now time.Duration, h *storedRecord) {
	for _, endpoint := range sortedEndpoints(h.Steps) {
		s := m.sentOrders[endpoint]
		if s == nil || s.order.FencingToken != h.FencingToken || !s.confirmed && !s.engineRestarted && now-s.lastSentAt >= m.cfg.ResendInterval {
			m.sendOrder(now, endpoint, h.Model, h.WeightsVersion, h.Steps[endpoint].EngineIncarnation)
		}
	}
}

func sortedEndpoints(steps map[string]Step) []string {
	names := make([]string, 0, len(steps))
	for name := range steps {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// OrderDone takes an agent's answer.
func (m *StateMachine) HandleOrderResult(now time.Duration, o Order, result OrderResult) {
	s := m.sentOrders[o.Endpoint]
	if s == nil || s.order != o || m.phase != planning {
		return
	}
	switch result {
	case OrderAccepted:
		s.confirmed = true
	case OrderTokenStale:
		m.stepDown(now)
	case OrderEngineRestarted:
		s.engineRestarted = !s.confirmed
	case OrderRejected:
		m.haltRollout(now, o.Model, fmt.Sprintf("%s refused version %s", o.Endpoint, o.WeightsVersion))
	}
}

// halt stops a rollout until its rule changes.
func (m *StateMachine) haltRollout(now time.Duration, model, reason string) {
	h := m.records[model]
	if h == nil || h.HaltReason != "" || m.pendingCall != nil {
		// A call under way is followed by another look at the same failure.
		return
	}
	next := h.Record
	next.HaltReason, next.HaltRulesVersion = reason, m.rulesView.Version
	m.saveRecord(now, model, next, func(time.Duration) {})
}

// complete removes the steps whose engines serve the new version for a while.
func (m *StateMachine) completeSteps(now time.Duration, h *storedRecord, r rules.Rollout) bool {
	next := h.Record
	next.Steps = cloneSteps(h.Steps)
	for endpoint := range h.Steps {
		s, o := m.sentOrders[endpoint], m.observations[endpoint]
		if s != nil && s.engineRestarted {
			delete(next.Steps, endpoint)
			continue
		}
		if s == nil || !s.confirmed || o.ObservedAt < s.lastSentAt || !o.Serving || o.WeightsVersion != r.Version {
			continue
		}
		if s.servingSince == 0 {
			s.servingSince = o.ObservedAt
		}
		if o.ObservedAt-s.servingSince >= m.cfg.MinServingTime {
			delete(next.Steps, endpoint)
		}
	}
	// A step for an endpoint that the rules no longer know cannot complete.
	for endpoint := range next.Steps {
		if _, known := m.rulesView.Endpoint(endpoint); !known {
			delete(next.Steps, endpoint)
		}
	}
	if len(next.Steps) == len(h.Steps) {
		return false
	}
	m.saveRecord(now, r.Model, next, func(time.Duration) {
		for endpoint := range h.Steps {
			if _, left := next.Steps[endpoint]; !left {
				delete(m.sentOrders, endpoint)
			}
		}
	})
	return true
}

// failed halts the rollout when an engine that was ordered to the new version
// restarted or did not get there.
func (m *StateMachine) haltOnFailure(now time.Duration, h *storedRecord, r rules.Rollout) bool {
	if h.HaltReason != "" {
		return false
	}
	for _, endpoint := range sortedEndpoints(h.Steps) {
		step, s, o := h.Steps[endpoint], m.sentOrders[endpoint], m.observations[endpoint]
		if s == nil || step.WeightsVersion != r.Version {
			continue
		}
		recent := now-o.ObservedAt <= m.cfg.ObservationMaxAge
		switch {
		case recent && s.confirmed && o.FailedFencingToken == s.order.FencingToken:
			// The token keeps a failure of an earlier order, observed before
			// the engine took this one, from halting the rollout again.
			m.haltRollout(now, r.Model, fmt.Sprintf("%s could not load version %s", endpoint, r.Version))
		case recent && o.EngineIncarnation != 0 && step.EngineIncarnation != 0 && o.EngineIncarnation != step.EngineIncarnation:
			m.haltRollout(now, r.Model, fmt.Sprintf("%s failed on version %s", endpoint, r.Version))
		case now-s.firstSentAt > m.cfg.StepTimeout:
			m.haltRollout(now, r.Model, fmt.Sprintf("%s did not reach version %s in %v", endpoint, r.Version, m.cfg.StepTimeout))
		default:
			continue
		}
		return true
	}
	return false
}

// start records and orders as many further steps as the limits allow.
func (m *StateMachine) startSteps(now time.Duration, h *storedRecord, r rules.Rollout) bool {
	running := 0
	for _, other := range m.records {
		running += len(other.Steps)
	}
	total, serving := 0, 0
	var ready []string
	for _, e := range m.rulesView.Targets(rules.KindModel, r.Model) {
		if e.Draining {
			continue
		}
		total++
		_, ordered := h.Steps[e.Name]
		o := m.observations[e.Name]
		if ordered || !o.Serving || now-o.ObservedAt > m.cfg.ObservationMaxAge {
			continue
		}
		serving++
		if o.WeightsVersion != r.Version {
			ready = append(ready, e.Name)
		}
	}
	minServing := (total*r.KeepPercent + 99) / 100
	count := min(len(ready), r.Loads-running, serving-minServing)
	if count <= 0 {
		return false
	}
	slices.SortFunc(ready, strings.Compare)
	next := h.Record
	next.Steps = cloneSteps(h.Steps)
	for _, endpoint := range ready[:count] {
		next.Steps[endpoint] = Step{WeightsVersion: r.Version, EngineIncarnation: m.observations[endpoint].EngineIncarnation}
	}
	m.saveRecord(now, r.Model, next, func(now time.Duration) {
		for _, endpoint := range ready[:count] {
			delete(m.sentOrders, endpoint)
			m.sendOrder(now, endpoint, r.Model, r.Version, next.Steps[endpoint].EngineIncarnation)
		}
	})
	return true
}

package rollout

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/arbutusline/arbutusline/rules"
)

// planRollouts takes the next action for the rollouts in the rules, which run one
// after the other because they share the weight store.
func (m *StateMachine) planRollouts(now time.Duration) {
	earlierRolloutHasSteps := false
	for _, r := range m.rulesView.Rollouts() {
		for _, e := range m.rulesView.EndpointsOf(rules.KindModel, r.Model) {
			m.actions.ObserveEndpoints = append(m.actions.ObserveEndpoints, e.Name)
		}
		stored := m.records[r.Model]
		if stored == nil {
			// The rule was added after the lease was taken: read its record first.
			m.phase, m.modelsToRead = readingRecords, []string{r.Model}
			m.readNextRecord(now)
			return
		}
		if stored.FencingToken == m.lease.FencingToken && stored.RuleText != ruleText(r) && len(stored.Steps) > 0 {
			// A higher token makes agents refuse late orders of the old rule.
			next := m.lease
			next.FencingToken++
			m.writeLease(now, next, func(time.Duration) {})
			return
		}
		if stored.FencingToken != m.lease.FencingToken || stored.RuleText != ruleText(r) {
			m.rewriteRecord(now, stored, r)
			return
		}
		m.resendOrders(now, stored)
		if m.completeSteps(now, stored, r) || m.haltOnFailure(now, stored, r) {
			return
		}
		if !earlierRolloutHasSteps && stored.HaltReason == "" && m.startSteps(now, stored, r) {
			return
		}
		earlierRolloutHasSteps = earlierRolloutHasSteps || len(stored.Steps) > 0
	}
}

// ruleText identifies a rule, so that an edit of it restarts a halted rollout.
func ruleText(r rules.Rollout) string {
	return fmt.Sprintf("%s version %s loads %d keep %d%%", r.Model, r.WeightsVersion, r.MaxConcurrentLoads, r.MinServingPercent)
}

// rewriteRecord rewrites a record for this holder's token or for a changed rule.
// Orders that may be in flight stay in it. The rewrite makes every later write of
// an earlier holder fail.
func (m *StateMachine) rewriteRecord(now time.Duration, stored *storedRecord, r rules.Rollout) {
	next := stored.Record
	if next.RuleText != ruleText(r) {
		next.HaltReason, next.HaltRulesVersion = "", 0
	}
	next.Model, next.WeightsVersion, next.RuleText, next.FencingToken = r.Model, r.WeightsVersion, ruleText(r), m.lease.FencingToken
	m.saveRecord(now, r.Model, next, func(time.Duration) {})
}

// saveRecord writes a record and uses it once the write succeeded.
func (m *StateMachine) saveRecord(now time.Duration, model string, next Record, onWritten func(now time.Duration)) {
	stored := m.records[model]
	next.WriteID = m.newWriteID()
	next.Steps = cloneSteps(next.Steps)
	value, _ := json.Marshal(next)
	m.writeObject(now, RecordKeyPrefix+model, value, next.WriteID, stored.storeVersion, func(now time.Duration, version uint64) {
		m.records[model] = &storedRecord{Record: next, storeVersion: version}
		onWritten(now)
	})
}

func cloneSteps(steps map[string]Step) map[string]Step {
	out := make(map[string]Step, len(steps))
	for k, v := range steps {
		out[k] = v
	}
	return out
}

// sendOrder sends or repeats the order of a recorded step while the lease is
// valid.
func (m *StateMachine) sendOrder(now time.Duration, endpoint, model, weightsVersion string, engineIncarnation uint64) {
	if now >= m.leaseValidUntil {
		return
	}
	sent := m.sentOrders[endpoint]
	if sent == nil || sent.order.WeightsVersion != weightsVersion || sent.order.FencingToken != m.lease.FencingToken {
		sent = &sentOrder{firstSentAt: now}
		m.sentOrders[endpoint] = sent
	}
	sent.order = Order{
		Endpoint: endpoint, FencingToken: m.lease.FencingToken, Kind: KindLoadWeights,
		Model: model, WeightsVersion: weightsVersion, EngineIncarnation: engineIncarnation,
	}
	sent.lastSentAt = now
	m.actions.Orders = append(m.actions.Orders, sent.order)
}

// resendOrders repeats unconfirmed orders and those that an earlier holder recorded.
// Older orders can take effect until the agent has confirmed this holder's token.
func (m *StateMachine) resendOrders(now time.Duration, stored *storedRecord) {
	for _, endpoint := range sortedEndpoints(stored.Steps) {
		sent := m.sentOrders[endpoint]
		if sent == nil || sent.order.FencingToken != stored.FencingToken || !sent.confirmed && !sent.engineRestarted && now-sent.lastSentAt >= m.cfg.ResendInterval {
			m.sendOrder(now, endpoint, stored.Model, stored.WeightsVersion, stored.Steps[endpoint].EngineIncarnation)
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

// HandleOrderResult processes an agent's response to an order.
func (m *StateMachine) HandleOrderResult(now time.Duration, order Order, result OrderResult) {
	sent := m.sentOrders[order.Endpoint]
	if sent == nil || sent.order != order || m.phase != planning {
		return
	}
	switch result {
	case OrderAccepted:
		sent.confirmed = true
	case OrderFencingTokenStale:
		m.stepDown(now)
	case OrderEngineRestarted:
		sent.engineRestarted = !sent.confirmed
	case OrderRejected:
		m.haltRollout(now, order.Model, fmt.Sprintf("%s refused version %s", order.Endpoint, order.WeightsVersion))
	}
}

// haltRollout stops a rollout until its rule changes.
func (m *StateMachine) haltRollout(now time.Duration, model, reason string) {
	stored := m.records[model]
	if stored == nil || stored.HaltReason != "" || m.pendingCall != nil {
		// Nothing can be saved during a store call. The same failure is detected
		// again afterwards.
		return
	}
	next := stored.Record
	next.HaltReason, next.HaltRulesVersion = reason, m.rulesView.Version
	m.saveRecord(now, model, next, func(time.Duration) {})
}

// completeSteps removes the steps whose engines have served the new version for
// MinServingTime, restarted before they accepted the order, or were removed from the
// rules. It reports whether it removed any.
func (m *StateMachine) completeSteps(now time.Duration, stored *storedRecord, r rules.Rollout) bool {
	next := stored.Record
	next.Steps = cloneSteps(stored.Steps)
	for endpoint := range stored.Steps {
		sent, observed := m.sentOrders[endpoint], m.observations[endpoint]
		if sent != nil && sent.engineRestarted {
			delete(next.Steps, endpoint)
			continue
		}
		if sent == nil || !sent.confirmed || observed.ObservedAt < sent.lastSentAt || !observed.Serving || observed.WeightsVersion != r.WeightsVersion {
			continue
		}
		if sent.servingSince == 0 {
			sent.servingSince = observed.ObservedAt
		}
		if observed.ObservedAt-sent.servingSince >= m.cfg.MinServingTime {
			delete(next.Steps, endpoint)
		}
	}
	// A step for an endpoint that was removed from the rules cannot complete.
	for endpoint := range next.Steps {
		if _, known := m.rulesView.Endpoint(endpoint); !known {
			delete(next.Steps, endpoint)
		}
	}
	if len(next.Steps) == len(stored.Steps) {
		return false
	}
	m.saveRecord(now, r.Model, next, func(time.Duration) {
		for endpoint := range stored.Steps {
			if _, remaining := next.Steps[endpoint]; !remaining {
				delete(m.sentOrders, endpoint)
			}
		}
	})
	return true
}

// haltOnFailure halts the rollout when an engine failed to load the new version,
// restarted or exceeded StepTimeout. It reports whether one of them failed.
func (m *StateMachine) haltOnFailure(now time.Duration, stored *storedRecord, r rules.Rollout) bool {
	if stored.HaltReason != "" {
		return false
	}
	for _, endpoint := range sortedEndpoints(stored.Steps) {
		step, sent, observed := stored.Steps[endpoint], m.sentOrders[endpoint], m.observations[endpoint]
		if sent == nil || step.WeightsVersion != r.WeightsVersion {
			continue
		}
		recent := now-observed.ObservedAt <= m.cfg.ObservationMaxAge
		switch {
		case recent && sent.confirmed && observed.FailedFencingToken == sent.order.FencingToken:
			// Comparing tokens keeps the failure of an earlier order, observed
			// before the engine accepted this one, from halting the rollout again.
			m.haltRollout(now, r.Model, fmt.Sprintf("%s could not load version %s", endpoint, r.WeightsVersion))
		case recent && observed.EngineIncarnation != 0 && step.EngineIncarnation != 0 && observed.EngineIncarnation != step.EngineIncarnation:
			m.haltRollout(now, r.Model, fmt.Sprintf("%s failed on version %s", endpoint, r.WeightsVersion))
		case now-sent.firstSentAt > m.cfg.StepTimeout:
			m.haltRollout(now, r.Model, fmt.Sprintf("%s did not reach version %s in %v", endpoint, r.WeightsVersion, m.cfg.StepTimeout))
		default:
			continue
		}
		return true
	}
	return false
}

// startSteps records as many further steps as the limits allow and then sends their
// orders. It reports whether it started any.
func (m *StateMachine) startSteps(now time.Duration, stored *storedRecord, r rules.Rollout) bool {
	openSteps := 0
	for _, other := range m.records {
		openSteps += len(other.Steps)
	}
	total, serving := 0, 0
	var outdated []string
	for _, e := range m.rulesView.EndpointsOf(rules.KindModel, r.Model) {
		if e.Draining {
			continue
		}
		total++
		_, ordered := stored.Steps[e.Name]
		observed := m.observations[e.Name]
		if ordered || !observed.Serving || now-observed.ObservedAt > m.cfg.ObservationMaxAge {
			continue
		}
		serving++
		if observed.WeightsVersion != r.WeightsVersion {
			outdated = append(outdated, e.Name)
		}
	}
	minServing := (total*r.MinServingPercent + 99) / 100
	count := min(len(outdated), r.MaxConcurrentLoads-openSteps, serving-minServing)
	if count <= 0 {
		return false
	}
	slices.SortFunc(outdated, strings.Compare)
	next := stored.Record
	next.Steps = cloneSteps(stored.Steps)
	for _, endpoint := range outdated[:count] {
		next.Steps[endpoint] = Step{WeightsVersion: r.WeightsVersion, EngineIncarnation: m.observations[endpoint].EngineIncarnation}
	}
	m.saveRecord(now, r.Model, next, func(now time.Duration) {
		for _, endpoint := range outdated[:count] {
			delete(m.sentOrders, endpoint)
			m.sendOrder(now, endpoint, r.Model, r.WeightsVersion, next.Steps[endpoint].EngineIncarnation)
		}
	})
	return true
}

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
func (m *Machine) plan(now time.Duration) {
	busy := false
	for _, r := range m.view.Rollouts() {
		for _, e := range m.view.EndpointsOf(rules.KindModel, r.Model) {
			m.actions.Observe = append(m.actions.Observe, e.Name)
		}
		h := m.records[r.Model]
		if h == nil {
			// The rule is newer than the lease: read its record first.
			m.phase, m.toRead = reading, []string{r.Model}
			m.readNext(now)
			return
		}
		if h.Token == m.lease.Token && h.Rule != ruleText(r) && len(h.Steps) > 0 {
			// Late orders of the changed rule must be refused from now on.
			next := m.lease
			next.Token++
			m.writeLease(now, next, func(time.Duration) {})
			return
		}
		if h.Token != m.lease.Token || h.Rule != ruleText(r) {
			m.adopt(now, h, r)
			return
		}
		m.resend(now, h)
		if m.complete(now, h, r) || m.failed(now, h, r) {
			return
		}
		if !busy && h.Halted == "" && m.start(now, h, r) {
			return
		}
		busy = busy || len(h.Steps) > 0
	}
}

// ruleText identifies a rule, so that an edit of it starts a halted rollout
// again.
func ruleText(r rules.Rollout) string {
	return fmt.Sprintf("%s version %s loads %d keep %d%%", r.Model, r.WeightsVersion, r.MaxConcurrentLoads, r.MinServingPercent)
}

// adopt rewrites the record under the own token or for a changed rule. Orders
// that may be under way stay in it. The rewrite makes every later write of an
// earlier holder fail.
func (m *Machine) adopt(now time.Duration, h *held, r rules.Rollout) {
	next := h.Record
	if next.Rule != ruleText(r) {
		next.Halted, next.RulesVersion = "", 0
	}
	next.Model, next.Version, next.Rule, next.Token = r.Model, r.WeightsVersion, ruleText(r), m.lease.Token
	m.save(now, r.Model, next, func(time.Duration) {})
}

// save writes a record and then puts it in force.
func (m *Machine) save(now time.Duration, model string, next Record, then func(now time.Duration)) {
	h := m.records[model]
	next.WriteID = m.writeID()
	next.Steps = cloneSteps(next.Steps)
	value, _ := json.Marshal(next)
	m.write(now, RecordPrefix+model, value, next.WriteID, h.version, func(now time.Duration, version uint64) {
		m.records[model] = &held{Record: next, version: version}
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
func (m *Machine) send(now time.Duration, endpoint, model, version string, incarnation uint64) {
	if now >= m.leaseUntil {
		return
	}
	s := m.orders[endpoint]
	if s == nil || s.order.Version != version || s.order.Token != m.lease.Token {
		s = &sent{first: now}
		m.orders[endpoint] = s
	}
	s.order = Order{
		Endpoint: endpoint, Token: m.lease.Token, Kind: KindWeights,
		Model: model, Version: version, Incarnation: incarnation,
	}
	s.at = now
	m.actions.Orders = append(m.actions.Orders, s.order)
}

// resend repeats orders without an answer, and those that an earlier holder
// recorded: only the confirmation of the own token makes sure that no older
// order follows.
func (m *Machine) resend(now time.Duration, h *held) {
	for _, endpoint := range sortedSteps(h.Steps) {
		s := m.orders[endpoint]
		if s == nil || s.order.Token != h.Token || !s.confirmed && !s.gone && now-s.at >= m.cfg.Resend {
			m.send(now, endpoint, h.Model, h.Version, h.Steps[endpoint].Incarnation)
		}
	}
}

func sortedSteps(steps map[string]Step) []string {
	names := make([]string, 0, len(steps))
	for name := range steps {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// OrderDone takes an agent's answer.
func (m *Machine) OrderDone(now time.Duration, o Order, result OrderResult) {
	s := m.orders[o.Endpoint]
	if s == nil || s.order != o || m.phase != holding {
		return
	}
	switch result {
	case Accepted:
		s.confirmed = true
	case Stale:
		m.stepDown(now)
	case Gone:
		s.gone = !s.confirmed
	case Rejected:
		m.halt(now, o.Model, fmt.Sprintf("%s refused version %s", o.Endpoint, o.Version))
	}
}

// halt stops a rollout until its rule changes.
func (m *Machine) halt(now time.Duration, model, why string) {
	h := m.records[model]
	if h == nil || h.Halted != "" || m.op != nil {
		// A call under way is followed by another look at the same failure.
		return
	}
	next := h.Record
	next.Halted, next.RulesVersion = why, m.view.Version
	m.save(now, model, next, func(time.Duration) {})
}

// complete removes the steps whose engines serve the new version for a while.
func (m *Machine) complete(now time.Duration, h *held, r rules.Rollout) bool {
	next := h.Record
	next.Steps = cloneSteps(h.Steps)
	for endpoint := range h.Steps {
		s, o := m.orders[endpoint], m.observed[endpoint]
		if s != nil && s.gone {
			delete(next.Steps, endpoint)
			continue
		}
		if s == nil || !s.confirmed || o.At < s.at || !o.Up || o.Version != r.WeightsVersion {
			continue
		}
		if s.servedSince == 0 {
			s.servedSince = o.At
		}
		if o.At-s.servedSince >= m.cfg.Settle {
			delete(next.Steps, endpoint)
		}
	}
	// A step for an endpoint that the rules no longer know cannot complete.
	for endpoint := range next.Steps {
		if _, known := m.view.Endpoint(endpoint); !known {
			delete(next.Steps, endpoint)
		}
	}
	if len(next.Steps) == len(h.Steps) {
		return false
	}
	m.save(now, r.Model, next, func(time.Duration) {
		for endpoint := range h.Steps {
			if _, left := next.Steps[endpoint]; !left {
				delete(m.orders, endpoint)
			}
		}
	})
	return true
}

// failed halts the rollout when an engine that was ordered to the new version
// restarted or did not get there.
func (m *Machine) failed(now time.Duration, h *held, r rules.Rollout) bool {
	if h.Halted != "" {
		return false
	}
	for _, endpoint := range sortedSteps(h.Steps) {
		step, s, o := h.Steps[endpoint], m.orders[endpoint], m.observed[endpoint]
		if s == nil || step.Version != r.WeightsVersion {
			continue
		}
		fresh := now-o.At <= m.cfg.Fresh
		switch {
		case fresh && s.confirmed && o.FailedToken == s.order.Token:
			// The token keeps a failure of an earlier order, observed before
			// the engine took this one, from halting the rollout again.
			m.halt(now, r.Model, fmt.Sprintf("%s could not load version %s", endpoint, r.WeightsVersion))
		case fresh && o.Incarnation != 0 && step.Incarnation != 0 && o.Incarnation != step.Incarnation:
			m.halt(now, r.Model, fmt.Sprintf("%s failed on version %s", endpoint, r.WeightsVersion))
		case now-s.first > m.cfg.StepTimeout:
			m.halt(now, r.Model, fmt.Sprintf("%s did not reach version %s in %v", endpoint, r.WeightsVersion, m.cfg.StepTimeout))
		default:
			continue
		}
		return true
	}
	return false
}

// start records and orders as many further steps as the limits allow.
func (m *Machine) start(now time.Duration, h *held, r rules.Rollout) bool {
	running := 0
	for _, other := range m.records {
		running += len(other.Steps)
	}
	total, serving := 0, 0
	var ready []string
	for _, e := range m.view.EndpointsOf(rules.KindModel, r.Model) {
		if e.Draining {
			continue
		}
		total++
		_, ordered := h.Steps[e.Name]
		o := m.observed[e.Name]
		if ordered || !o.Up || now-o.At > m.cfg.Fresh {
			continue
		}
		serving++
		if o.Version != r.WeightsVersion {
			ready = append(ready, e.Name)
		}
	}
	keep := (total*r.MinServingPercent + 99) / 100
	count := min(len(ready), r.MaxConcurrentLoads-running, serving-keep)
	if count <= 0 {
		return false
	}
	slices.SortFunc(ready, strings.Compare)
	next := h.Record
	next.Steps = cloneSteps(h.Steps)
	for _, endpoint := range ready[:count] {
		next.Steps[endpoint] = Step{Version: r.WeightsVersion, Incarnation: m.observed[endpoint].Incarnation}
	}
	m.save(now, r.Model, next, func(now time.Duration) {
		for _, endpoint := range ready[:count] {
			delete(m.orders, endpoint)
			m.send(now, endpoint, r.Model, r.WeightsVersion, next.Steps[endpoint].Incarnation)
		}
	})
	return true
}

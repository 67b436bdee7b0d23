package demo

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/arbutusline/arbutusline/workload"
)

// rulesWriter writes rules with comments. Comments start at a fixed column, so that
// a rule has the same line in site.rules and split.rules.
type rulesWriter struct {
	text       strings.Builder
	deployment workload.Deployment
}

// addRule writes a rule with a comment. authorIndex selects one of the deployment's
// RuleAuthors as the author that the comment names.
func (w *rulesWriter) addRule(authorIndex int, reason, format string, args ...any) {
	rule := fmt.Sprintf(format, args...)
	fmt.Fprintf(&w.text, "%-72s # %s: %s\n", rule, w.deployment.RuleAuthors[authorIndex%len(w.deployment.RuleAuthors)], reason)
}

// rulesFile returns the content of a rules file. With split it includes the halves
// and the owners of hosts.
func (l *layout) rulesFile(split bool) string {
	w := &rulesWriter{deployment: l.Deployment}
	l.addTeamRules(w)
	l.addEndpointRules(w)
	d := l.Deployment
	w.addRule(1, "never repeat", "once service %s POST %s", d.Service, d.NonIdempotentPath)
	w.addRule(0, "measures of this deployment", "weights hit %d recompute %d tail %d", d.HitWeight, d.RecomputeWeight, d.TailWeight)
	if split {
		l.addSplitRules(w)
	}
	return w.text.String()
}

func (l *layout) addTeamRules(w *rulesWriter) {
	for _, t := range l.Deployment.Teams {
		hash := sha256.Sum256([]byte(workload.BearerToken(t.Name)))
		w.addRule(0, "team of the demo", "team %s token-sha256 %s share %d priority %d",
			t.Name, hex.EncodeToString(hash[:]), t.Share, t.Priority)
		w.addRule(0, "completions", "allow %s model %s", t.Name, l.Deployment.Model)
		w.addRule(0, "calls", "allow %s service %s", t.Name, l.Deployment.Service)
	}
}

func (l *layout) addEndpointRules(w *rulesWriter) {
	for _, e := range l.endpoints {
		if e.PlainService {
			w.addRule(1, "plain service", "service %s endpoint %s host %s zone %s", l.Deployment.Service, e.Name, e.Host, e.Zone)
			continue
		}
		w.addRule(0, "rack in "+e.Zone, "endpoint %s model %s host %s zone %s", e.Name, l.Deployment.Model, e.Host, e.Zone)
		if e.index == fencingIgnoringEngineIndex {
			w.addRule(1, "old engine", "fencing %s ignored", e.Name)
		}
	}
}

func (l *layout) addSplitRules(w *rulesWriter) {
	teams := map[string][]string{}
	for _, t := range l.Deployment.Teams {
		teams[t.Half] = append(teams[t.Half], t.Name)
	}
	for _, half := range l.halfNames() {
		w.addRule(1, "split", "half %s teams %s", half, strings.Join(teams[half], " "))
	}
	for _, e := range l.endpoints {
		w.addRule(1, "split", "host %s owner %s", e.Host, e.Half)
	}
}

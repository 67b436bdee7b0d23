package dispatch

import (
	"slices"
	"time"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/attempt"
	"github.com/arbutusline/arbutusline/decision/placement"
	"github.com/arbutusline/arbutusline/decision/quarantine"
	"github.com/arbutusline/arbutusline/rules"
)

// suspected takes a suspicion that a peer spreads.
func (d *Dispatcher) suspected(s *arbutuspb.Suspect) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspects.Merge(d.now(), quarantine.Report{
		Fingerprint: s.Fingerprint,
		Level:       levelOf(s.Crashes),
		Age:         time.Duration(s.AgeMs) * time.Millisecond,
	})
}

func levelOf(crashes uint32) quarantine.Level {
	return quarantine.Level(min(crashes, uint32(quarantine.LevelQuarantined)))
}

// blame remembers that an engine died under the request, so that later copies
// at this router carry the suspicion.
func (x *execution) blame(in attempt.Failed) {
	if in.SuspicionLevel == 0 || in.AttemptID != x.current.AttemptID {
		return
	}
	x.d.mu.Lock()
	defer x.d.mu.Unlock()
	x.d.suspects.Merge(x.d.now(), quarantine.Report{
		Fingerprint: x.req.Fingerprint, Level: levelOf(uint32(in.SuspicionLevel)),
	})
}

func (x *execution) suspicion() int {
	x.d.mu.Lock()
	defer x.d.mu.Unlock()
	return int(x.d.suspects.Level(x.d.now(), x.req.Fingerprint, 0))
}

// rank returns the endpoints to try, best first. A suspect is only tried at its
// home, where copies from all routers meet and run one at a time. Its home is
// chosen among the endpoints whose agents are known.
func (x *execution) rank(exclude []string) []placement.Candidate {
	d := x.d
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.suspects.Level(d.now(), x.req.Fingerprint, 0) == quarantine.LevelClear {
		r := *x.placing
		r.Exclude, r.RefusedForCost = exclude, x.reoffer
		return d.placer.Rank(d.now(), &r, nil)
	}
	var names []string
	for _, e := range d.pools[rules.PoolName(x.req.Kind, x.req.Target, x.req.Team.Half)] {
		if _, known := d.directory.AgentByEndpoint(e.Name); known && !slices.Contains(exclude, e.Name) {
			names = append(names, e.Name)
		}
	}
	home := quarantine.IsolationEndpoint(x.req.Fingerprint, names)
	if home == "" {
		return nil
	}
	return []placement.Candidate{{Endpoint: home, Source: placement.SourceHashRing}}
}

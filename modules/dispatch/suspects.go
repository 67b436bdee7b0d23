package dispatch

import (
	"slices"
	"time"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/attempt"
	"github.com/arbutusline/arbutusline/decision/membership"
	"github.com/arbutusline/arbutusline/decision/placement"
	"github.com/arbutusline/arbutusline/decision/quarantine"
	"github.com/arbutusline/arbutusline/rules"
)

// mergePeerSuspicion merges a suspicion that another process reported.
func (d *Dispatcher) mergePeerSuspicion(s *arbutuspb.Suspect) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspects.Merge(d.now(), quarantine.Report{
		Fingerprint: s.Fingerprint,
		Level:       suspicionLevelOf(s.Crashes),
		Age:         time.Duration(s.AgeMs) * time.Millisecond,
	})
}

// suspicionLevelOf returns the quarantine level for a reported crash count, which
// may exceed the highest level.
func suspicionLevelOf(crashes uint32) quarantine.Level {
	return quarantine.Level(min(crashes, uint32(quarantine.LevelQuarantined)))
}

// mergeAttemptSuspicion merges the suspicion that the agent reported with a failed
// attempt because the engine crashed while the attempt ran. Later copies of the
// request that arrive at this router then carry the suspicion.
func (x *execution) mergeAttemptSuspicion(in attempt.Failed) {
	if in.SuspicionLevel == 0 || in.AttemptID != x.currentAttempt.AttemptID {
		return
	}
	x.d.mu.Lock()
	defer x.d.mu.Unlock()
	x.d.suspects.Merge(x.d.now(), quarantine.Report{
		Fingerprint: x.req.Fingerprint, Level: suspicionLevelOf(uint32(in.SuspicionLevel)),
	})
}

// suspicionLevel returns the quarantine level of the request.
func (x *execution) suspicionLevel() int {
	x.d.mu.Lock()
	defer x.d.mu.Unlock()
	return int(x.d.suspects.Level(x.d.now(), x.req.Fingerprint, 0))
}

// rankCandidates returns the endpoints to try, best first. Copies of a request that has
// produced no output yet are tried where it runs. A suspected request is only tried at
// its isolation endpoint, where copies from all routers run one at a time. The isolation
// endpoint is chosen among all endpoints whose agents are alive: it must not depend on
// which endpoints one copy has tried.
func (x *execution) rankCandidates(exclude []string) []placement.Candidate {
	d := x.d
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.suspects.Level(d.now(), x.req.Fingerprint, 0) == quarantine.LevelClear {
		if e := d.copies.Endpoint(x.req.Fingerprint); e != "" && !slices.Contains(exclude, e) {
			return []placement.Candidate{{Endpoint: e, Source: placement.SourceRunningCopy, MustQueue: true}}
		}
		r := *x.placementRequest
		r.Exclude, r.RefusedForCost = exclude, x.refusedForCost
		return d.placer.Rank(d.now(), &r, nil)
	}
	var names []string
	for _, e := range d.pools[rules.PoolName(x.req.Kind, x.req.Target, x.req.Team.Half)] {
		if member, known := d.gossip.AgentByEndpoint(e.Name); known && member.State == membership.Alive {
			names = append(names, e.Name)
		}
	}
	isolationEndpoint := quarantine.IsolationEndpoint(x.req.Fingerprint, names)
	if isolationEndpoint == "" || slices.Contains(exclude, isolationEndpoint) {
		return nil
	}
	return []placement.Candidate{{Endpoint: isolationEndpoint, Source: placement.SourceHashRing}}
}

// trackCopy records that the current attempt starts without output yet.
func (x *execution) trackCopy(endpoint string) {
	x.untrackCopy()
	x.d.mu.Lock()
	defer x.d.mu.Unlock()
	x.d.copies.Start(x.req.Fingerprint, endpoint)
	x.copyEndpoint = endpoint
}

// untrackCopy records that the current attempt produced output or ended.
func (x *execution) untrackCopy() {
	if x.copyEndpoint == "" {
		return
	}
	x.d.mu.Lock()
	defer x.d.mu.Unlock()
	x.d.copies.End(x.req.Fingerprint, x.copyEndpoint)
	x.copyEndpoint = ""
}

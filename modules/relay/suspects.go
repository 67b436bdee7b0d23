package relay

import (
	"context"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline/decision/poison"
	"github.com/arbutusline/arbutusline/fleet"
	"github.com/arbutusline/arbutusline/internal/wait"
)

const (
	// suspectsExpiryInterval is the time between two checks for expired evidence.
	suspectsExpiryInterval = time.Second
)

// changeNames maps changes of prompt parts to their names in metrics and logs.
var changeNames = map[poison.ChangeKind]string{
	poison.Condemned: "condemned", poison.Cleared: "cleared", poison.Explained: "explained",
}

// sharedPartKeys returns the IDs of the prompt's shared parts. A part that crashes
// engines does so whatever the team or model.
func sharedPartKeys(p *fleet.Prompt) []uint64 {
	if p == nil {
		return nil
	}
	var keys []uint64
	for _, part := range p.SharedParts() {
		keys = append(keys, part.ID)
	}
	return keys
}

// PendingSuspects returns at most limit reports about suspect prompt parts that other
// routers may not know yet.
func (r *Relay) PendingSuspects(limit int) []poison.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.suspects.Pending(r.now(), limit)
}

// MergeSuspects adds the reports of one message of another router about suspect prompt
// parts.
func (r *Relay) MergeSuspects(reports []poison.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handlePartChangesLocked(r.suspects.Merge(r.now(), reports...), "router")
}

// expireSuspects removes old evidence periodically until ctx is done.
func (r *Relay) expireSuspects(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, suspectsExpiryInterval)
		r.mu.Lock()
		r.handlePartChangesLocked(r.suspects.Tick(r.now()), "expiry")
		r.mu.Unlock()
	}
}

// handlePartChangesLocked counts and logs changes of prompt parts. Attempts that run are
// left alone: their output is the first proof of a part that was condemned by mistake. The
// caller holds mu.
func (r *Relay) handlePartChangesLocked(changes []poison.Change, source string) {
	for _, c := range changes {
		r.metrics.partChanges.WithLabelValues(changeNames[c.Kind]).Inc()
		r.log.WithFields(logrus.Fields{
			"part": strconv.FormatUint(c.Part, 16), "change": changeNames[c.Kind], "crashes": c.Crashes, "moments": c.Moments,
			"other_crashes": c.OtherCrashes, "tests": c.Tests, "source": source,
		}).Warn("prompt part condemned or cleared")
	}
}

// beginLocked decides whether the request may be sent to an engine now, as far as its
// prompt parts are concerned. The caller holds mu and sends the request if it may.
func (x *execution) beginLocked() bool {
	verdict, culprit := x.relay.suspects.Begin(x.relay.now(), x.sharedParts)
	if verdict == poison.Test {
		x.log().WithField("part", strconv.FormatUint(culprit, 16)).Info("request tests a condemned prompt part")
	}
	return verdict != poison.Refuse
}

// partCondemned reports whether the request must be refused for a part of its prompt.
func (x *execution) partCondemned() bool {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	verdict, _ := r.suspects.Decide(r.now(), x.sharedParts)
	return verdict == poison.Refuse
}

// observeCrash records that the connection to an endpoint ended before the run proved that the
// prompt is sound.
func (x *execution) observeCrash(endpoint string) {
	if len(x.sharedParts) == 0 {
		return
	}
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	if x.lastResult.eventCount > 0 {
		r.handlePartChangesLocked(r.suspects.ObserveCrashAfterOutput(r.now(), endpoint, x.sharedParts), "own")
		return
	}
	r.handlePartChangesLocked(r.suspects.ObserveCrash(r.now(), endpoint, x.sharedParts, x.lastResult.headReceived), "own")
}

// observeProof records what the run proves about the parts of the prompt, if anything.
func (a *attempt) observeProof(p poison.Proof) {
	if p == poison.NoProof || len(a.sharedParts) == 0 {
		return
	}
	r := a.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	observe := r.suspects.ObserveOutput
	if p == poison.ProvesSound {
		observe = r.suspects.ObserveSound
	}
	r.handlePartChangesLocked(observe(r.now(), a.sharedParts), "own")
}

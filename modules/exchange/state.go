package exchange

import (
	"context"
	"slices"
	"time"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/replica"
	"github.com/arbutusline/arbutusline/decision/selection"
	"github.com/arbutusline/arbutusline/decision/strikes"
)

// Exchange takes another router's state and answers with this one's.
func (x *Exchange) Exchange(_ context.Context, in *arbutuspb.RouterState) (*arbutuspb.RouterState, error) {
	x.mu.Lock()
	x.peer(in.GetAddress())
	x.mu.Unlock()
	x.merge(in)
	return x.state(in), nil
}

// state returns what this router tells another one. In is the other's state in
// an answer and nil in a call.
func (x *Exchange) state(in *arbutuspb.RouterState) *arbutuspb.RouterState {
	out := &arbutuspb.RouterState{Name: x.node.ID, Address: x.self, StoreLost: x.directory.StoreLost()}
	for _, p := range x.directory.Positions() {
		out.Positions = append(out.Positions, &arbutuspb.CopyPosition{Kind: p.Kind, Revision: p.Revision})
	}
	for _, l := range x.relay.Loads() {
		out.Loads = append(out.Loads, &arbutuspb.EndpointLoad{
			Endpoint: l.Endpoint, Running: uint32(l.Running), Unread: uint32(l.PendingPrefillTokens), Long: uint32(l.LongRunning),
		})
	}
	for _, s := range x.relay.PendingCrashReports(maxStrikes) {
		out.Strikes = append(out.Strikes, &arbutuspb.CrashStrike{
			Fingerprint: s.Fingerprint, Endpoint: s.Endpoint, AgeMs: uint32(s.Age.Milliseconds()),
		})
	}
	out.Changes, out.Parts = x.outgoing()
	out.Named = x.named()
	if in != nil {
		out.Copies = x.copies(in.GetPositions())
	}
	return out
}

// outgoing returns the news of the last moments, with the parts that were read
// since the last message.
func (x *Exchange) outgoing() ([]*arbutuspb.WeightsChange, []*arbutuspb.HeldParts) {
	fresh := x.relay.TakeNewParts()
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, h := range fresh {
		x.parts = append(x.parts, &heldNews{
			news: &arbutuspb.HeldParts{Endpoint: h.Endpoint, Weights: h.WeightsVersion, Keys: h.Keys, Read: h.Computed}, at: time.Now(),
		})
	}
	x.changes = slices.DeleteFunc(x.changes, func(c *change) bool { return time.Since(c.at) > changeLife })
	x.parts = slices.DeleteFunc(x.parts, func(h *heldNews) bool { return time.Since(h.at) > partLife })
	changes := make([]*arbutuspb.WeightsChange, 0, len(x.changes))
	for _, c := range x.changes {
		changes = append(changes, c.news)
	}
	parts := make([]*arbutuspb.HeldParts, 0, len(x.parts))
	for _, h := range x.parts {
		parts = append(parts, h.news)
	}
	return changes, parts
}

// named returns the ages of the weights versions named lately.
func (x *Exchange) named() []*arbutuspb.NamedWeights {
	var out []*arbutuspb.NamedWeights
	for model, versions := range x.directory.Named() {
		for _, n := range versions {
			if age := time.Since(n.PublishedAt); age < namedLife {
				out = append(out, &arbutuspb.NamedWeights{Model: model, Version: n.Version, AgeMs: uint32(age.Milliseconds())})
			}
		}
	}
	return out
}

// copies returns the objects that a router with these positions lacks.
func (x *Exchange) copies(positions []*arbutuspb.CopyPosition) []*arbutuspb.CopyDelta {
	var out []*arbutuspb.CopyDelta
	for _, p := range positions {
		entries, revision := x.directory.Since(p.GetKind(), p.GetRevision())
		if revision == 0 {
			continue
		}
		d := &arbutuspb.CopyDelta{Kind: p.GetKind(), Revision: revision}
		for _, e := range entries {
			d.Entries = append(d.Entries, &arbutuspb.CopyEntry{
				Name: e.Name, Revision: e.Revision, Seen: e.SeenRevision, Spec: e.Spec, Removed: e.Removed,
			})
		}
		out = append(out, d)
	}
	return out
}

func (x *Exchange) merge(in *arbutuspb.RouterState) {
	x.mu.Lock()
	if p := x.peers[in.GetAddress()]; p != nil {
		p.storeLost = in.GetStoreLost()
	}
	x.mu.Unlock()
	loads := make([]selection.EndpointLoad, 0, len(in.GetLoads()))
	for _, l := range in.GetLoads() {
		loads = append(loads, selection.EndpointLoad{Endpoint: l.GetEndpoint(), Running: int(l.GetRunning()), PendingPrefillTokens: int(l.GetUnread()), LongRunning: int(l.GetLong())})
	}
	x.relay.SetRemoteLoads(in.GetName(), loads)
	for _, s := range in.GetStrikes() {
		x.relay.AddCrashReport(strikes.CrashReport{
			Fingerprint: s.GetFingerprint(), Endpoint: s.GetEndpoint(), Age: time.Duration(s.GetAgeMs()) * time.Millisecond,
		})
	}
	held := make([]selection.CachedParts, 0, len(in.GetParts()))
	for _, h := range in.GetParts() {
		held = append(held, selection.CachedParts{Endpoint: h.GetEndpoint(), WeightsVersion: h.GetWeights(), Keys: h.GetKeys(), Computed: h.GetRead()})
	}
	x.relay.ObserveRemoteParts(held)
	for _, n := range in.GetNamed() {
		x.directory.MergeNamed(n.GetModel(), n.GetVersion(), time.Duration(n.GetAgeMs())*time.Millisecond)
	}
	for _, c := range in.GetChanges() {
		x.take(c)
	}
	for _, d := range in.GetCopies() {
		entries := make([]replica.Entry, 0, len(d.GetEntries()))
		for _, e := range d.GetEntries() {
			entries = append(entries, replica.Entry{
				Name: e.GetName(), Revision: e.GetRevision(), SeenRevision: e.GetSeen(), Spec: e.GetSpec(), Removed: e.GetRemoved(),
			})
		}
		x.directory.Merge(d.GetKind(), entries, d.GetRevision())
	}
}

// take applies the news of a change of weights.
func (x *Exchange) take(c *arbutuspb.WeightsChange) {
	if c.GetStage() == arbutuspb.ChangeStage_CHANGE_STAGE_DONE {
		x.relay.ObserveWeightsChangeDone(c.GetEndpoint(), c.GetModel(), c.GetVersion())
		return
	}
	if e := x.directory.View().ByID[c.GetEndpoint()]; e == nil || e.WeightsVersions[c.GetModel()] >= c.GetVersion() {
		return
	}
	if c.GetStage() == arbutuspb.ChangeStage_CHANGE_STAGE_SOON {
		x.relay.ObserveWeightsChangeSoon(c.GetEndpoint(), c.GetModel(), c.GetVersion())
		return
	}
	x.relay.ObserveWeightsChangeStarted(c.GetEndpoint(), c.GetModel(), c.GetVersion())
}

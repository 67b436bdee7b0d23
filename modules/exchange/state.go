package exchange

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/replica"
	"github.com/arbutusline/arbutusline/decision/selection"
	"github.com/arbutusline/arbutusline/decision/strikes"
	"github.com/arbutusline/arbutusline/decision/throttle"
	"github.com/arbutusline/arbutusline/decision/versionpin"
	"github.com/arbutusline/arbutusline/fleet"
	"github.com/arbutusline/arbutusline/modules/directory"
)

// Exchange applies the state of another router and returns the state of this one.
func (x *Exchange) Exchange(_ context.Context, in *arbutuspb.RouterState) (*arbutuspb.RouterState, error) {
	x.mu.Lock()
	x.addPeerLocked(in.GetAddress())
	x.mu.Unlock()
	x.applyState(in)
	if in.GetStoreLost() {
		x.versions.CheckStore()
	}
	return x.buildState(in, x.directory.ReplicaPositions()), nil
}

// decodePromises returns the promises in a message by service.
func decodePromises(list []*arbutuspb.TablePromise) map[string]versionpin.Promise {
	out := map[string]versionpin.Promise{}
	for _, p := range list {
		out[p.GetService()] = versionpin.Promise{Era: p.GetEra(), Sequence: p.GetSequence()}
	}
	return out
}

// buildState returns the state to send to another router, with the positions of the given
// replicas. In a response, in is the state that the caller sent; in a call it is nil.
func (x *Exchange) buildState(in *arbutuspb.RouterState, positions []directory.ReplicaPosition) *arbutuspb.RouterState {
	out := &arbutuspb.RouterState{Name: x.node.ID, Address: x.ownAddress, StoreLost: x.directory.StoreUnreachable()}
	for _, p := range positions {
		position := &arbutuspb.CopyPosition{Kind: p.Kind, Era: p.Position.Era, Revision: p.Position.Revision}
		if age, known := x.directory.ConfirmedAge(p.Kind); in != nil && known {
			ms := uint32(age.Milliseconds()) + 1
			position.ConfirmedAgeMs = &ms
		}
		out.Positions = append(out.Positions, position)
	}
	for _, l := range x.relay.Loads() {
		out.Loads = append(out.Loads, encodeLoad(l))
	}
	for _, w := range x.relay.WorkRates() {
		out.WorkRates = append(out.WorkRates, &arbutuspb.WorkRate{Service: w.Service, Light: w.Light, Heavy: w.Heavy})
	}
	for _, report := range x.relay.PendingCrashReports(maxCrashReportsPerMessage) {
		out.Strikes = append(out.Strikes, &arbutuspb.CrashStrike{
			Fingerprint: report.Fingerprint, Endpoint: report.Endpoint, AgeMs: uint32(report.Age.Milliseconds()), AfterOutput: report.AfterOutput,
		})
	}
	out.Suspects = x.pendingSuspects()
	for _, l := range x.relay.PendingLimits(maxLimitsPerMessage) {
		out.Limits = append(out.Limits, &arbutuspb.EndpointLimit{
			Endpoint: l.Endpoint, Version: l.Version, Confirmations: l.Confirmations, RequestsPerSecond: l.Rate,
		})
	}
	x.addQuotas(out)
	version, spec, inReplica := x.directory.ActiveConfiguration()
	out.ConfigurationVersion = version
	// A router that starts may know a later era of the store, or not ask for this kind.
	if starts := in.GetConfigurationVersion() == 0; in != nil && in.GetConfigurationVersion() < version && (starts || !inReplica) {
		out.Configuration = spec
	}
	out.Changes, out.Parts = x.recentUpdates()
	out.Named = x.recentPublishTimes()
	if in != nil {
		out.StreamRecords = x.streamRecords(in)
		out.Copies = x.replicaDeltas(in.GetPositions())
		for service, p := range x.versions.Promises() {
			out.TablePromises = append(out.TablePromises, &arbutuspb.TablePromise{Service: service, Era: p.Era, Sequence: p.Sequence})
		}
	}
	return out
}

func encodeLoad(l selection.EndpointLoad) *arbutuspb.EndpointLoad {
	return &arbutuspb.EndpointLoad{
		Endpoint: l.EndpointID, Running: uint32(l.Running), Unread: uint32(l.PendingPrefillTokens), Long: uint32(l.LongRunning),
		KvTokens: uint64(max(0, l.KVTokens)), Speed: float32(l.Speed), SpeedSamples: uint32(max(0, l.SpeedSamples)),
	}
}

// decodeLoad returns the load in a message. It bounds the KV memory, as sums of larger
// numbers overflow.
func decodeLoad(l *arbutuspb.EndpointLoad) selection.EndpointLoad {
	return selection.EndpointLoad{
		EndpointID: l.GetEndpoint(), Running: int(l.GetRunning()), PendingPrefillTokens: int(l.GetUnread()), LongRunning: int(l.GetLong()),
		KVTokens: int(min(l.GetKvTokens(), math.MaxInt32)), Speed: float64(l.GetSpeed()), SpeedSamples: int(l.GetSpeedSamples()),
	}
}

// recentUpdates returns the weights changes and cached parts whose lifetimes have not
// ended, including the parts that are new since the last message.
func (x *Exchange) recentUpdates() ([]*arbutuspb.WeightsChange, []*arbutuspb.HeldParts) {
	newParts := x.relay.TakeNewParts()
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range newParts {
		x.cachedParts = append(x.cachedParts, &cachedParts{
			message: &arbutuspb.HeldParts{Endpoint: p.EndpointID, Weights: p.WeightsVersion, Keys: p.Keys, Read: p.Computed}, addedAt: time.Now(),
		})
	}
	x.announcedWeightsChanges = slices.DeleteFunc(x.announcedWeightsChanges, func(c *announcedWeightsChange) bool { return time.Since(c.announcedAt) > weightsChangeLifetime })
	x.cachedParts = slices.DeleteFunc(x.cachedParts, func(p *cachedParts) bool { return time.Since(p.addedAt) > cachedPartsLifetime })
	changes := make([]*arbutuspb.WeightsChange, 0, len(x.announcedWeightsChanges))
	for _, c := range x.announcedWeightsChanges {
		changes = append(changes, c.message)
	}
	parts := make([]*arbutuspb.HeldParts, 0, len(x.cachedParts))
	for _, p := range x.cachedParts {
		parts = append(parts, p.message)
	}
	return changes, parts
}

// recentPublishTimes returns the ages of the recently published weights versions.
func (x *Exchange) recentPublishTimes() []*arbutuspb.NamedWeights {
	var out []*arbutuspb.NamedWeights
	for model, versions := range x.directory.PublishedWeightsVersions() {
		for _, v := range versions {
			if age := time.Since(v.PublishedAt); age < publishTimeLifetime && !v.Assumed {
				out = append(out, &arbutuspb.NamedWeights{Model: model, Version: v.Version, AgeMs: uint32(age.Milliseconds())})
			}
		}
	}
	return out
}

// replicaDeltas returns the objects that may be missing from the replicas of a router
// at these positions.
func (x *Exchange) replicaDeltas(positions []*arbutuspb.CopyPosition) []*arbutuspb.CopyDelta {
	var out []*arbutuspb.CopyDelta
	for _, p := range positions {
		delta, newer := x.directory.ChangedSince(p.GetKind(), fleet.StorePosition{Era: p.GetEra(), Revision: p.GetRevision()})
		if !newer {
			continue
		}
		d := &arbutuspb.CopyDelta{
			Kind: p.GetKind(), Era: delta.At.Era, Revision: delta.At.Revision, Complete: delta.Complete, Unchanged: delta.Unchanged,
		}
		for _, e := range delta.Entries {
			d.Entries = append(d.Entries, &arbutuspb.CopyEntry{
				Name: e.Name, Revision: e.Revision, Seen: e.SeenRevision, Spec: e.Spec, Removed: e.Removed,
			})
		}
		out = append(out, d)
	}
	return out
}

// applyState applies the state received from another router.
func (x *Exchange) applyState(in *arbutuspb.RouterState) {
	x.mu.Lock()
	if p := x.peers[in.GetAddress()]; p != nil {
		p.storeUnreachable = in.GetStoreLost()
	}
	x.mu.Unlock()
	loads := make([]selection.EndpointLoad, 0, len(in.GetLoads()))
	for _, l := range in.GetLoads() {
		loads = append(loads, decodeLoad(l))
	}
	work := make([]selection.WorkRate, 0, len(in.GetWorkRates()))
	for _, w := range in.GetWorkRates() {
		work = append(work, selection.WorkRate{Service: w.GetService(), Light: w.GetLight(), Heavy: w.GetHeavy()})
	}
	x.relay.SetRemoteLoads(in.GetName(), loads, work)
	for _, report := range in.GetStrikes() {
		x.relay.AddCrashReport(strikes.CrashReport{
			Fingerprint: report.GetFingerprint(), Endpoint: report.GetEndpoint(), Age: time.Duration(report.GetAgeMs()) * time.Millisecond,
			AfterOutput: report.GetAfterOutput(),
		})
	}
	x.relay.MergeSuspects(decodeSuspects(in.GetSuspects()))
	limits := make([]throttle.Report, 0, len(in.GetLimits()))
	for _, l := range in.GetLimits() {
		limits = append(limits, throttle.Report{
			Endpoint: l.GetEndpoint(), Version: l.GetVersion(), Confirmations: l.GetConfirmations(), Rate: l.GetRequestsPerSecond(),
		})
	}
	x.relay.MergeLimits(limits)
	x.mergeQuotas(in)
	parts := make([]selection.CachedParts, 0, len(in.GetParts()))
	for _, p := range in.GetParts() {
		parts = append(parts, selection.CachedParts{EndpointID: p.GetEndpoint(), WeightsVersion: p.GetWeights(), Keys: p.GetKeys(), Computed: p.GetRead()})
	}
	x.relay.ObserveRemoteParts(parts)
	for _, v := range in.GetNamed() {
		x.directory.MergePublishTime(v.GetModel(), v.GetVersion(), time.Duration(v.GetAgeMs())*time.Millisecond)
	}
	for _, c := range in.GetChanges() {
		x.applyWeightsChange(c)
	}
	for _, d := range in.GetCopies() {
		delta := replica.Delta{
			At: fleet.StorePosition{Era: d.GetEra(), Revision: d.GetRevision()}, Complete: d.GetComplete(), Unchanged: d.GetUnchanged(),
		}
		for _, e := range d.GetEntries() {
			delta.Entries = append(delta.Entries, replica.Entry{
				Name: e.GetName(), Revision: e.GetRevision(), SeenRevision: e.GetSeen(), Spec: e.GetSpec(), Removed: e.GetRemoved(),
			})
		}
		x.directory.MergeDelta(d.GetKind(), delta)
	}
	x.directory.MergeConfiguration(in.GetConfigurationVersion(), in.GetConfiguration())
}

// confirmReplicas records how well another router knew the store when it sent a response to a
// call that began at a time on bootclock. Its ages count from no earlier than that: what a call
// says may have been delayed on the way, so that only responses count.
func (x *Exchange) confirmReplicas(begin time.Duration, positions []*arbutuspb.CopyPosition) {
	for _, p := range positions {
		if p.ConfirmedAgeMs == nil {
			continue
		}
		asOf := begin - time.Duration(p.GetConfirmedAgeMs())*time.Millisecond
		x.directory.ConfirmFromRouter(p.GetKind(), fleet.StorePosition{Era: p.GetEra(), Revision: p.GetRevision()}, asOf)
	}
}

// applyWeightsChange passes the stage of a weights change to the relay. The start of a
// change is ignored if the endpoint is unknown or has already loaded the version.
func (x *Exchange) applyWeightsChange(c *arbutuspb.WeightsChange) {
	if c.GetStage() == arbutuspb.ChangeStage_CHANGE_STAGE_DONE {
		x.relay.ObserveWeightsChangeDone(c.GetEndpoint(), c.GetModel(), c.GetVersion())
		return
	}
	if e := x.directory.View().EndpointsByID[c.GetEndpoint()]; e == nil || e.WeightsVersions[c.GetModel()] >= c.GetVersion() {
		return
	}
	if c.GetStage() == arbutuspb.ChangeStage_CHANGE_STAGE_SOON {
		x.relay.ObserveWeightsChangeSoon(c.GetEndpoint(), c.GetModel(), c.GetVersion())
		return
	}
	x.relay.ObserveWeightsChangeStarted(c.GetEndpoint(), c.GetModel(), c.GetVersion())
}

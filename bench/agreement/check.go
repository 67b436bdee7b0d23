package agreement

import (
	"fmt"
	"time"

	"github.com/arbutusline/arbutusline/decision/membership"
)

// Bounds of the invariants. I7: an endpoint that leaves, is drained or is assigned
// to another half gets no new requests after leaveBound, and members that left or
// died are not listed as live again. I9: an accepted version of the rules is active in all
// healthy processes after activationBound, and no process goes back to an older one.
const (
	// activationBound is the time until an accepted version is active (I9).
	activationBound = 4 * time.Second
	// leaveBound is the time until a leaving endpoint gets no new requests (I7).
	leaveBound = 3 * time.Second
	// checkInterval is the time between two checks of the whole cluster.
	checkInterval = 250 * time.Millisecond
	// minReachableTime is how long a process must have been reachable before a
	// restarting process is expected to learn the rules version from it.
	minReachableTime = 2 * time.Second
)

// Bug is a bug injected into the simulated processes, which the checker must detect.
type Bug string

// Injected bugs.
const (
	NoBug Bug = ""
	// BugRevertRules makes processes go back to version 1 of the rules.
	BugRevertRules Bug = "forgets-rules"
	// BugNoForwarding keeps processes from learning rules versions by gossip and from
	// sending missing deltas to peers.
	BugNoForwarding Bug = "no-forwarding"
	// BugForgetDeadMembers makes processes forget dead members at once.
	BugForgetDeadMembers Bug = "forgets-dead"
	// BugUnannouncedLeave keeps processes from announcing that they leave.
	BugUnannouncedLeave Bug = "silent-leave"
	// BugNoFirstVersionDelay makes restarted processes activate the first version that
	// any peer announces, without waiting for newer ones.
	BugNoFirstVersionDelay Bug = "no-wait"
	// BugTrustRequestVersion makes agents admit requests by the version that they
	// name instead of the active one.
	BugTrustRequestVersion Bug = "trusts-router"
	// BugAcceptOlderVersion makes agents go back to an older version that a request
	// names.
	BugAcceptOlderVersion Bug = "takes-older"
)

func (o *Options) applyBug() {
	switch o.Bug {
	case BugForgetDeadMembers:
		o.Membership.DeadRetention = time.Nanosecond
		o.LateRate = 0.3
	case BugNoFirstVersionDelay:
		o.Rules.FirstVersionDelay, o.Rules.MaxFetchDelay = time.Nanosecond, time.Nanosecond
	}
}

// checker records what happens in a cluster and checks it against the invariants.
type checker struct {
	cluster    *Cluster
	violations []string
	// acceptedAt is when the store accepted each rules version.
	acceptedAt []time.Duration
	// newestActive is the newest version that a process has had active in any run.
	newestActive map[string]uint64
	// lastSeen is the last state of a member that an observer reported.
	lastSeen map[observationKey]observedMember
	// announcedLeaves are the last announced leaves by member.
	announcedLeaves map[string]announcedLeave
	// leaveLearnedAt is when an observer learned that a member leaves.
	leaveLearnedAt map[observationKey]time.Duration
	// activationTimes are the times of all activations by version.
	activationTimes map[uint64][]time.Duration
	// admissions is the number of requests that agents admitted.
	admissions int
	// lastAdmitted is when a request was last admitted, by endpoint and team.
	lastAdmitted map[string]time.Duration
	// outdatedRequests is the number of requests that named an older version than
	// the agent's active one.
	outdatedRequests int
}

// observationKey names a member as seen by one run of an observing process.
type observationKey struct {
	observer  string
	runNumber int
	member    string
}

type observedMember struct {
	incarnation uint64
	leaving     bool
	dead        bool
	revision    uint32
}

type announcedLeave struct {
	at          time.Duration
	incarnation uint64
}

func newChecker(c *Cluster) *checker {
	return &checker{
		cluster: c, newestActive: map[string]uint64{}, lastSeen: map[observationKey]observedMember{}, announcedLeaves: map[string]announcedLeave{}, leaveLearnedAt: map[observationKey]time.Duration{},
		activationTimes: map[uint64][]time.Duration{}, lastAdmitted: map[string]time.Duration{},
	}
}

// maxViolations is the number of violations that are kept.
const maxViolations = 20

func (ch *checker) addViolation(format string, args ...any) {
	if len(ch.violations) < maxViolations {
		ch.violations = append(ch.violations, fmt.Sprintf("%v: ", ch.cluster.sim.now)+fmt.Sprintf(format, args...))
	}
}

func (ch *checker) recordAccepted(version uint64) {
	for uint64(len(ch.acceptedAt)) <= version {
		ch.acceptedAt = append(ch.acceptedAt, ch.cluster.sim.now)
	}
}

// checkActivation checks that versions increase within a run, and do not go back over
// a restart while a reachable process has the newer one active.
func (ch *checker) checkActivation(p *Process, version uint64) {
	name := p.self.Name
	if version <= p.activeVersion {
		ch.addViolation("I9: %s changed from version %d to %d", name, p.activeVersion, version)
	}
	if p.activeVersion == 0 && version < ch.newestActive[name] {
		for _, other := range ch.cluster.processes {
			if other != p && other.activeVersion >= ch.newestActive[name] && ch.cluster.stablyReachable(p, other) {
				ch.addViolation("I9: %s restarted with version %d after %d, although %s has the newer one active", name, version, ch.newestActive[name], other.self.Name)
				break
			}
		}
	}
	ch.newestActive[name] = max(ch.newestActive[name], version)
	p.activations = append(p.activations, activation{ch.cluster.sim.now, version})
	ch.activationTimes[version] = append(ch.activationTimes[version], ch.cluster.sim.now)
}

// checkMember checks that a process never replaces the state of a member by an older
// state.
func (ch *checker) checkMember(p *Process, m *membership.Member) {
	if ch.cluster.options.CheckLeavingOnly && !m.Leaving {
		return
	}
	key := observationKey{p.self.Name, p.runNumber, m.Name}
	last := ch.lastSeen[key]
	switch {
	case m.Incarnation < last.incarnation:
		ch.addViolation("I7: at %s an older incarnation of %s came back", p.self.Name, m.Name)
	case m.Incarnation == last.incarnation && last.leaving && !m.Leaving:
		ch.addViolation("I7: at %s member %s stopped leaving", p.self.Name, m.Name)
	case m.Incarnation == last.incarnation && last.dead && m.State != membership.Dead && m.Revision <= last.revision:
		ch.addViolation("I7: at %s member %s changed from dead to live without a newer revision", p.self.Name, m.Name)
	}
	if m.Leaving && !(last.leaving && last.incarnation == m.Incarnation) {
		ch.leaveLearnedAt[key] = ch.cluster.sim.now
	}
	ch.lastSeen[key] = observedMember{m.Incarnation, m.Leaving, m.State == membership.Dead, m.Revision}
}

// recordLeave records that a process announced that it leaves.
func (ch *checker) recordLeave(p *Process) {
	ch.announcedLeaves[p.self.Name] = announcedLeave{ch.cluster.sim.now, p.self.Incarnation}
}

// checkPeriodically checks the whole cluster every checkInterval.
func (ch *checker) checkPeriodically() {
	ch.checkCluster()
	ch.cluster.sim.scheduleAfter(checkInterval, ch.checkPeriodically)
}

func (ch *checker) checkCluster() {
	now := ch.cluster.sim.now
	required := ch.requiredVersion(now, ch.storeWatched(now, activationBound))
	for _, p := range ch.cluster.processes {
		if now-p.healthySince >= activationBound && p.activeVersion < required {
			ch.addViolation("I9: %s has version %d active, required is %d", p.self.Name, p.activeVersion, required)
		}
		ch.checkLeavingMembers(p, now)
	}
}

// storeWatched reports whether a healthy process watched the healthy store during
// the whole time span before now.
func (ch *checker) storeWatched(now, span time.Duration) bool {
	if now-ch.cluster.storeHealthySince < span || ch.cluster.store.responseLossRate > 0 {
		return false
	}
	for _, p := range ch.cluster.processes {
		if now-p.healthySince >= span && p.isWatcher && now-p.watcherSince >= span {
			return true
		}
	}
	return false
}

// requiredVersion returns the version that every healthy process must have active:
// the newest one that was active activationBound ago in a process that has been
// healthy since then. If the store was watched during this time, the newest version
// accepted before that time counts too.
func (ch *checker) requiredVersion(now time.Duration, watched bool) uint64 {
	var required uint64
	for _, p := range ch.cluster.processes {
		if now-p.healthySince >= activationBound {
			required = max(required, p.activeVersionAt(now-activationBound))
		}
	}
	if !watched {
		return required
	}
	for v := len(ch.acceptedAt) - 1; v > 0; v-- {
		if ch.acceptedAt[v] <= now-activationBound {
			return max(required, uint64(v))
		}
	}
	return required
}

// checkLeavingMembers checks that a healthy process knows of every leaving member that
// another healthy process has known of for leaveBound.
func (ch *checker) checkLeavingMembers(p *Process, now time.Duration) {
	if now-p.healthySince < leaveBound {
		return
	}
	for name, leave := range ch.announcedLeaves {
		member, present := p.members[name]
		if present && member.Incarnation == leave.incarnation && !member.Leaving && ch.leaveKnownSince(name, leave, now-leaveBound) {
			ch.addViolation("I7: %s has %s as %s, although it has been leaving since %v", p.self.Name, name, member.StateName(), leave.at)
		}
	}
}

// leaveKnownSince reports whether a process that has been healthy since a time knew
// by then that the member leaves.
func (ch *checker) leaveKnownSince(name string, leave announcedLeave, since time.Duration) bool {
	if leave.at <= since && ch.cluster.processesByName[name].healthySince <= since {
		return true
	}
	for _, observer := range ch.cluster.processes {
		m, present := observer.members[name]
		if present && observer.healthySince <= since && m.Leaving && m.Incarnation == leave.incarnation {
			if at, known := ch.leaveLearnedAt[observationKey{observer.self.Name, observer.runNumber, name}]; known && at <= since {
				return true
			}
		}
	}
	return false
}

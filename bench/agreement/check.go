package agreement

import (
	"fmt"
	"time"

	"github.com/arbutusline/arbutusline/decision/membership"
)

// Bounds of the invariants.
const (
	// ruleBound is the time until an accepted version is in force (I9).
	activationBound = 4 * time.Second
	// leaveBound is the time until a leaving endpoint gets no new work (I7).
	leaveBound = 3 * time.Second
	// checkInterval is the time between two looks at the whole cluster.
	checkInterval = 250 * time.Millisecond
	// consultTime is how long a process must have been reachable for its
	// knowledge to count for a process that restarts.
	minReachableTime = 2 * time.Second
)

// Fault is a deliberate fault that the checker must find.
type Bug string

// Deliberate faults.
const (
	NoBug Bug = ""
	// FaultForgetsRules makes processes start over with older rules.
	BugRevertRules Bug = "forgets-rules"
	// FaultNoForwarding keeps processes from passing rules on.
	BugNoForwarding Bug = "no-forwarding"
	// FaultForgetsDead makes processes forget dead members at once.
	BugForgetDeadMembers Bug = "forgets-dead"
	// FaultSilentLeave keeps processes from announcing that they leave.
	BugUnannouncedLeave Bug = "silent-leave"
	// FaultNoWait makes processes use the first version that any peer names
	// after a restart.
	BugNoFirstVersionDelay Bug = "no-wait"
	// FaultTrustsRouter makes agents admit by the version that a request names
	// in place of their own.
	BugTrustRequestVersion Bug = "trusts-router"
	// FaultTakesOlder makes agents go back to an older version that a request
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

// checker records what happened and compares it with the invariants.
type checker struct {
	cluster    *Cluster
	violations []string
	acceptedAt []time.Duration
	// held is the newest version that a run of a node had in force.
	newestActive map[string]uint64
	// seen is the newest incarnation and leaving flag per observer and member.
	lastSeen map[observationKey]observedMember
	leaves   map[string]announcedLeave
	// leaveSeen is when an observer learned that a member leaves.
	leaveLearnedAt map[observationKey]time.Duration
	// inForce counts the processes per version; first is when each got it.
	activationTimes map[uint64][]time.Duration
	// admissions counts the work that agents took.
	admissions int
	// lastAdmitted is when an agent last took work, by endpoint and team.
	lastAdmitted map[string]time.Duration
	// outdated counts requests that named an older version than the agent had
	// in force.
	outdatedRequests int
}

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
		cluster: c, newestActive: map[string]uint64{}, lastSeen: map[observationKey]observedMember{}, leaves: map[string]announcedLeave{}, leaveLearnedAt: map[observationKey]time.Duration{},
		activationTimes: map[uint64][]time.Duration{}, lastAdmitted: map[string]time.Duration{},
	}
}

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

// adopt checks that versions rise within a run and do not fall over a restart
// while a process that could have been asked held the newer one.
func (ch *checker) checkActivation(n *Node, version uint64) {
	name := n.self.Name
	if version <= n.activeVersion {
		ch.addViolation("I9: %s went from version %d to %d", name, n.activeVersion, version)
	}
	if n.activeVersion == 0 && version < ch.newestActive[name] {
		for _, other := range ch.cluster.nodes {
			if other != n && other.activeVersion >= ch.newestActive[name] && ch.cluster.stablyReachable(n, other) {
				ch.addViolation("I9: %s restarted with version %d after %d, which %s holds", name, version, ch.newestActive[name], other.self.Name)
				break
			}
		}
	}
	ch.newestActive[name] = max(ch.newestActive[name], version)
	n.activations = append(n.activations, activation{ch.cluster.sim.now, version})
	ch.activationTimes[version] = append(ch.activationTimes[version], ch.cluster.sim.now)
}

// member checks that what a process believes of another never goes back.
func (ch *checker) checkMember(n *Node, m *membership.Member) {
	if ch.cluster.options.CheckLeavingOnly && !m.Leaving {
		return
	}
	key := observationKey{n.self.Name, n.runNumber, m.Name}
	last := ch.lastSeen[key]
	switch {
	case m.Incarnation < last.incarnation:
		ch.addViolation("I7: at %s an older incarnation of %s came back", n.self.Name, m.Name)
	case m.Incarnation == last.incarnation && last.leaving && !m.Leaving:
		ch.addViolation("I7: at %s member %s stopped leaving", n.self.Name, m.Name)
	case m.Incarnation == last.incarnation && last.dead && m.State != membership.Dead && m.Revision <= last.revision:
		ch.addViolation("I7: at %s member %s came back from the dead", n.self.Name, m.Name)
	}
	if m.Leaving && !(last.leaving && last.incarnation == m.Incarnation) {
		ch.leaveLearnedAt[key] = ch.cluster.sim.now
	}
	ch.lastSeen[key] = observedMember{m.Incarnation, m.Leaving, m.State == membership.Dead, m.Revision}
}

// leave records that a process announced to leave.
func (ch *checker) recordLeave(n *Node) {
	ch.leaves[n.self.Name] = announcedLeave{ch.cluster.sim.now, n.self.Incarnation}
}

// watch looks at the whole cluster at an interval.
func (ch *checker) checkPeriodically() {
	ch.checkCluster()
	ch.cluster.sim.scheduleAfter(checkInterval, ch.checkPeriodically)
}

func (ch *checker) checkCluster() {
	now := ch.cluster.sim.now
	required := ch.requiredVersion(now, ch.storeWatched(now, activationBound))
	for _, n := range ch.cluster.nodes {
		if now-n.healthySince >= activationBound && n.activeVersion < required {
			ch.addViolation("I9: %s has version %d, due is %d", n.self.Name, n.activeVersion, required)
		}
		ch.checkLeavingMembers(n, now)
	}
}

// watched reports whether a good process watched a working store for all of a
// time span.
func (ch *checker) storeWatched(now, span time.Duration) bool {
	if now-ch.cluster.storeHealthySince < span || ch.cluster.store.responseLossRate > 0 {
		return false
	}
	for _, n := range ch.cluster.nodes {
		if now-n.healthySince >= span && n.isWatcher && now-n.watcherSince >= span {
			return true
		}
	}
	return false
}

// due returns the version that every good process must have in force: the
// newest one that a process which has been good since had in force a bound ago
// and, when a good process watched the store all the time, the newest one
// accepted a bound ago.
func (ch *checker) requiredVersion(now time.Duration, watched bool) uint64 {
	var required uint64
	for _, n := range ch.cluster.nodes {
		if now-n.healthySince >= activationBound {
			required = max(required, n.activeVersionAt(now-activationBound))
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

// checkLeft checks that no good process still takes a leaving member for one
// that takes work, when a good process has known better for long enough.
func (ch *checker) checkLeavingMembers(n *Node, now time.Duration) {
	if now-n.healthySince < leaveBound {
		return
	}
	for name, leave := range ch.leaves {
		member, present := n.members[name]
		if present && member.Incarnation == leave.incarnation && !member.Leaving && ch.leaveKnownSince(name, leave, now-leaveBound) {
			ch.addViolation("I7: %s takes %s for %s, which leaves since %v", n.self.Name, name, member.StateName(), leave.at)
		}
	}
}

// leaveKnown reports whether a process that has been good since a time knew by
// then that the member leaves.
func (ch *checker) leaveKnownSince(name string, leave announcedLeave, since time.Duration) bool {
	if leave.at <= since && ch.cluster.nodesByName[name].healthySince <= since {
		return true
	}
	for _, observer := range ch.cluster.nodes {
		m, present := observer.members[name]
		if present && observer.healthySince <= since && m.Leaving && m.Incarnation == leave.incarnation {
			if at, known := ch.leaveLearnedAt[observationKey{observer.self.Name, observer.runNumber, name}]; known && at <= since {
				return true
			}
		}
	}
	return false
}

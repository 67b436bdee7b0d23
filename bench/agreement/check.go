package agreement

import (
	"fmt"
	"time"

	"github.com/arbutusline/arbutusline/decision/membership"
)

// Bounds of the invariants.
const (
	// ruleBound is the time until an accepted version is in force (I9).
	ruleBound = 4 * time.Second
	// leaveBound is the time until a leaving endpoint gets no new work (I7).
	leaveBound = 3 * time.Second
	// checkInterval is the time between two looks at the whole cluster.
	checkInterval = 250 * time.Millisecond
	// consultTime is how long a process must have been reachable for its
	// knowledge to count for a process that restarts.
	consultTime = 2 * time.Second
)

// Fault is a deliberate fault that the checker must find.
type Fault string

// Deliberate faults.
const (
	NoFault Fault = ""
	// FaultForgetsRules makes processes start over with older rules.
	FaultForgetsRules Fault = "forgets-rules"
	// FaultNoForwarding keeps processes from passing rules on.
	FaultNoForwarding Fault = "no-forwarding"
	// FaultForgetsDead makes processes forget dead members at once.
	FaultForgetsDead Fault = "forgets-dead"
	// FaultSilentLeave keeps processes from announcing that they leave.
	FaultSilentLeave Fault = "silent-leave"
	// FaultNoWait makes processes use the first version that any peer names
	// after a restart.
	FaultNoWait Fault = "no-wait"
	// FaultTrustsRouter makes agents admit by the version that a request names
	// in place of their own.
	FaultTrustsRouter Fault = "trusts-router"
	// FaultTakesOlder makes agents go back to an older version that a request
	// names.
	FaultTakesOlder Fault = "takes-older"
)

func (o *Options) applyFault() {
	switch o.Fault {
	case FaultForgetsDead:
		o.Membership.DeadRetention = time.Nanosecond
		o.Late = 0.3
	case FaultNoWait:
		o.Rules.FirstVersionDelay, o.Rules.MaxFetchDelay = time.Nanosecond, time.Nanosecond
	}
}

// checker records what happened and compares it with the invariants.
type checker struct {
	c          *Cluster
	violations []string
	acceptedAt []time.Duration
	// held is the newest version that a run of a node had in force.
	held map[string]uint64
	// seen is the newest incarnation and leaving flag per observer and member.
	seen map[seenKey]seenMember
	left map[string]leaving
	// leaveSeen is when an observer learned that a member leaves.
	leaveSeen map[seenKey]time.Duration
	// inForce counts the processes per version; first is when each got it.
	adoptions map[uint64][]time.Duration
	// admissions counts the work that agents took.
	admissions int
	// lastAdmitted is when an agent last took work, by endpoint and team.
	lastAdmitted map[string]time.Duration
	// outdated counts requests that named an older version than the agent had
	// in force.
	outdated int
}

type seenKey struct {
	observer string
	run      int
	member   string
}

type seenMember struct {
	incarnation uint64
	leaving     bool
	dead        bool
	revision    uint32
}

type leaving struct {
	at          time.Duration
	incarnation uint64
}

func newChecker(c *Cluster) *checker {
	return &checker{
		c: c, held: map[string]uint64{}, seen: map[seenKey]seenMember{}, left: map[string]leaving{}, leaveSeen: map[seenKey]time.Duration{},
		adoptions: map[uint64][]time.Duration{}, lastAdmitted: map[string]time.Duration{},
	}
}

const maxViolations = 20

func (k *checker) fail(format string, args ...any) {
	if len(k.violations) < maxViolations {
		k.violations = append(k.violations, fmt.Sprintf("%v: ", k.c.sim.now)+fmt.Sprintf(format, args...))
	}
}

func (k *checker) accepted(version uint64) {
	for uint64(len(k.acceptedAt)) <= version {
		k.acceptedAt = append(k.acceptedAt, k.c.sim.now)
	}
}

// adopt checks that versions rise within a run and do not fall over a restart
// while a process that could have been asked held the newer one.
func (k *checker) adopt(n *Node, version uint64) {
	name := n.self.Name
	if version <= n.force {
		k.fail("I9: %s went from version %d to %d", name, n.force, version)
	}
	if n.force == 0 && version < k.held[name] {
		for _, o := range k.c.nodes {
			if o != n && o.force >= k.held[name] && k.c.consultable(n, o) {
				k.fail("I9: %s restarted with version %d after %d, which %s holds", name, version, k.held[name], o.self.Name)
				break
			}
		}
	}
	k.held[name] = max(k.held[name], version)
	n.adoptions = append(n.adoptions, adoption{k.c.sim.now, version})
	k.adoptions[version] = append(k.adoptions[version], k.c.sim.now)
}

// member checks that what a process believes of another never goes back.
func (k *checker) member(n *Node, m *membership.Member) {
	if k.c.opt.Quiet && !m.Leaving {
		return
	}
	key := seenKey{n.self.Name, n.run, m.Name}
	last := k.seen[key]
	switch {
	case m.Incarnation < last.incarnation:
		k.fail("I7: at %s an older incarnation of %s came back", n.self.Name, m.Name)
	case m.Incarnation == last.incarnation && last.leaving && !m.Leaving:
		k.fail("I7: at %s member %s stopped leaving", n.self.Name, m.Name)
	case m.Incarnation == last.incarnation && last.dead && m.State != membership.Dead && m.Revision <= last.revision:
		k.fail("I7: at %s member %s came back from the dead", n.self.Name, m.Name)
	}
	if m.Leaving && !(last.leaving && last.incarnation == m.Incarnation) {
		k.leaveSeen[key] = k.c.sim.now
	}
	k.seen[key] = seenMember{m.Incarnation, m.Leaving, m.State == membership.Dead, m.Revision}
}

// leave records that a process announced to leave.
func (k *checker) leave(n *Node) {
	k.left[n.self.Name] = leaving{k.c.sim.now, n.self.Incarnation}
}

// watch looks at the whole cluster at an interval.
func (k *checker) watch() {
	k.look()
	k.c.sim.after(checkInterval, k.watch)
}

func (k *checker) look() {
	now := k.c.sim.now
	due := k.due(now, k.watched(now, ruleBound))
	for _, n := range k.c.nodes {
		if now-n.goodSince >= ruleBound && n.force < due {
			k.fail("I9: %s has version %d, due is %d", n.self.Name, n.force, due)
		}
		k.checkLeft(n, now)
	}
}

// watched reports whether a good process watched a working store for all of a
// time span.
func (k *checker) watched(now, span time.Duration) bool {
	if now-k.c.storeUpSince < span || k.c.store.loseAnswers > 0 {
		return false
	}
	for _, n := range k.c.nodes {
		if now-n.goodSince >= span && n.watching && now-n.watcherSince >= span {
			return true
		}
	}
	return false
}

// due returns the version that every good process must have in force: the
// newest one that a process which has been good since had in force a bound ago
// and, when a good process watched the store all the time, the newest one
// accepted a bound ago.
func (k *checker) due(now time.Duration, watched bool) uint64 {
	var due uint64
	for _, n := range k.c.nodes {
		if now-n.goodSince >= ruleBound {
			due = max(due, n.forceAt(now-ruleBound))
		}
	}
	if !watched {
		return due
	}
	for v := len(k.acceptedAt) - 1; v > 0; v-- {
		if k.acceptedAt[v] <= now-ruleBound {
			return max(due, uint64(v))
		}
	}
	return due
}

// checkLeft checks that no good process still takes a leaving member for one
// that takes work, when a good process has known better for long enough.
func (k *checker) checkLeft(n *Node, now time.Duration) {
	if now-n.goodSince < leaveBound {
		return
	}
	for name, l := range k.left {
		m, ok := n.members[name]
		if ok && m.Incarnation == l.incarnation && !m.Leaving && k.leaveKnown(name, l, now-leaveBound) {
			k.fail("I7: %s takes %s for %s, which leaves since %v", n.self.Name, name, m.StateName(), l.at)
		}
	}
}

// leaveKnown reports whether a process that has been good since a time knew by
// then that the member leaves.
func (k *checker) leaveKnown(name string, l leaving, since time.Duration) bool {
	if l.at <= since && k.c.byName[name].goodSince <= since {
		return true
	}
	for _, o := range k.c.nodes {
		m, ok := o.members[name]
		if ok && o.goodSince <= since && m.Leaving && m.Incarnation == l.incarnation {
			if at, known := k.leaveSeen[seenKey{o.self.Name, o.run, name}]; known && at <= since {
				return true
			}
		}
	}
	return false
}

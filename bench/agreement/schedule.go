package agreement

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Step is one fault or change of a schedule.
type Step struct {
	Kind StepKind
	// Process, Zone and OtherZone are indexes, taken modulo the number of processes or
	// zones.
	Process, Zone, OtherZone int
	// DurationFraction is the duration of the fault as a share of its maximum, from
	// 0 to 1.
	DurationFraction float64
	// DelayToNext is the time until the next step.
	DelayToNext time.Duration
}

// StepKind is the kind of a fault or change.
type StepKind string

// Kinds of steps.
const (
	StepEditRule           StepKind = "edit"
	StepConcurrentEdits    StepKind = "race"
	StepPause              StepKind = "freeze"
	StepRestart            StepKind = "restart"
	StepRestartAllRouters  StepKind = "herd"
	StepStoreOutage        StepKind = "outage"
	StepLoseStoreResponses StepKind = "lose-answers"
	StepIsolateZone        StepKind = "cut-zone"
	StepBlockLink          StepKind = "cut-one-way"
	StepLeave              StepKind = "leave"
)

// StepKinds are the kinds to draw from; edits occur three times to be drawn more
// often.
var StepKinds = []StepKind{
	StepEditRule, StepEditRule, StepEditRule, StepConcurrentEdits, StepPause, StepRestart, StepRestartAllRouters,
	StepStoreOutage, StepLoseStoreResponses, StepIsolateZone, StepBlockLink, StepLeave,
}

// Schedule is a sequence of faults and changes in a cluster.
type Schedule struct {
	Options
	Steps []Step
}

// Durations and rates of faults and of the phases of a schedule.
const (
	convergenceTime = 25 * time.Second
	maxDowntime     = 6 * time.Second
	maxPause        = 15 * time.Second
	maxLinkOutage   = 20 * time.Second
	maxStoreOutage  = 25 * time.Second
	// lastFaultsWait is longer than every fault.
	lastFaultsWait            = 30 * time.Second
	maxConcurrentEditInterval = 100 * time.Millisecond
	storeResponseLossDuration = 5 * time.Second
	storeResponseLossRate     = 0.5
)

// Run runs the schedule and returns the violations.
func (s Schedule) Run() []string {
	c := NewCluster(s.Options)
	c.EditRules(func(l []string) []string { return l })
	c.StartAll()
	c.Run(convergenceTime)
	c.checker.checkPeriodically()
	c.startRequests()
	rng := rand.New(rand.NewPCG(s.Seed, 77))
	for _, step := range s.Steps {
		c.applyStep(step, rng)
		c.Run(step.DelayToNext)
	}
	c.Run(lastFaultsWait)
	c.endFaults()
	c.AddLine("limit north-team requests 9/s # anitha: last")
	c.Run(convergenceTime)
	c.checker.checkFinalState()
	return c.checker.violations
}

// endFaults ends all faults that are still in effect.
func (c *Cluster) endFaults() {
	c.SetStoreOutage(false)
	c.SetStoreResponseLossRate(0)
	for link := range c.blockedLinks {
		c.SetLinkBlocked(link.from, link.to, false)
	}
	for _, p := range c.processes {
		if !p.running {
			p.start()
		}
	}
}

// applyStep injects one fault or change.
func (c *Cluster) applyStep(s Step, rng *rand.Rand) {
	scaled := func(d time.Duration) time.Duration { return time.Duration(s.DurationFraction * float64(d)) }
	p := c.processes[s.Process%len(c.processes)]
	zone := fmt.Sprintf("zone-%d", s.Zone%c.options.Zones)
	switch s.Kind {
	case StepEditRule:
		c.editRandomRule(rng)
	case StepConcurrentEdits:
		// Several operators edit the rules at about the same time.
		for i := range 4 {
			c.sim.scheduleAfter(scaled(time.Duration(i)*maxConcurrentEditInterval), func() { c.editRandomRule(rng) })
		}
	case StepPause:
		c.Pause(p, scaled(maxPause))
	case StepRestart:
		c.Restart(p, scaled(maxDowntime))
	case StepRestartAllRouters:
		for _, router := range c.processes[:c.options.Routers] {
			c.Restart(router, c.sim.randomDelay(time.Second))
		}
	case StepStoreOutage:
		c.SetStoreOutage(true)
		c.sim.scheduleAfter(scaled(maxStoreOutage), func() { c.SetStoreOutage(false) })
	case StepLoseStoreResponses:
		c.SetStoreResponseLossRate(storeResponseLossRate)
		c.sim.scheduleAfter(storeResponseLossDuration, func() { c.SetStoreResponseLossRate(0) })
	case StepIsolateZone:
		c.SetZoneIsolated(zone, true)
		c.sim.scheduleAfter(scaled(maxLinkOutage), func() { c.SetZoneIsolated(zone, false) })
	case StepBlockLink:
		other := fmt.Sprintf("zone-%d", s.OtherZone%c.options.Zones)
		c.SetLinkBlocked(zone, other, true)
		c.sim.scheduleAfter(scaled(maxLinkOutage), func() { c.SetLinkBlocked(zone, other, false) })
	case StepLeave:
		// A process leaves, and another process starts under its name.
		c.Leave(p)
		c.sim.scheduleAfter(5*time.Second, func() { c.Restart(p, scaled(maxDowntime)) })
	}
}

// editRandomRule drains or undrains a random endpoint, or assigns its host to one of
// the halves.
func (c *Cluster) editRandomRule(rng *rand.Rand) {
	i := rng.IntN(c.options.Agents)
	drain := fmt.Sprintf("drain endpoint llm-%d", i)
	host := fmt.Sprintf("host host-%d", i)
	switch rng.IntN(5) {
	case 0, 1:
		c.RemoveLine(drain)
		c.AddLine(drain + " # jose: maintenance")
	case 2:
		c.RemoveLine(drain)
	case 3:
		c.ReplaceLine(host, host+" owner south # jose: split")
	case 4:
		c.ReplaceLine(host, host+" owner north # anitha: split")
	}
}

// checkFinalState checks that all processes agree on rules and members after the
// faults have ended.
func (ch *checker) checkFinalState() {
	wantVersion := uint64(len(ch.acceptedAt) - 1)
	processCount := len(ch.cluster.processes)
	for _, p := range ch.cluster.processes {
		if p.activeVersion != wantVersion {
			ch.addViolation("I9: %s ends with version %d active, the accepted version is %d", p.self.Name, p.activeVersion, wantVersion)
		}
		if len(p.members) != processCount-1 {
			ch.addViolation("membership: %s knows %d of %d members", p.self.Name, len(p.members), processCount-1)
		}
		for name, m := range p.members {
			if m.Incarnation != ch.cluster.processesByName[name].membership.Self().Incarnation {
				ch.addViolation("membership: %s knows an old incarnation of %s", p.self.Name, name)
			}
		}
	}
	if ch.admissions == 0 {
		ch.addViolation("no request was admitted, so nothing was checked")
	}
}

// RestartAmongStalePeers restarts a router during a store outage at the moment when
// zones with older rules are reconnected, and returns the violations.
func RestartAmongStalePeers(o Options) []string {
	c := NewCluster(o)
	c.AddLine("drain endpoint llm-0 # jose: first")
	c.StartAll()
	c.Run(convergenceTime)
	c.checker.checkPeriodically()
	c.SetZoneIsolated("zone-0", true)
	c.SetLinkBlocked("zone-0", storeZone, false)
	c.BlockStoreLinks("zone-1", "zone-2")
	c.Run(time.Second)
	c.AddLine("drain endpoint llm-1 # jose: second")
	c.Run(3 * time.Second)
	c.SetStoreOutage(true)
	c.Restart(c.processes[0], time.Second)
	c.Run(time.Second - time.Millisecond)
	c.SetZoneIsolated("zone-0", false)
	c.Run(convergenceTime)
	return c.checker.violations
}

// LateMessagesFromDeadHost permanently stops a host soon after it joined, while the
// network delivers old messages late, and returns the violations.
func LateMessagesFromDeadHost(o Options) []string {
	c := NewCluster(o)
	c.StartAll()
	c.Run(convergenceTime)
	host := c.processes[len(c.processes)-1]
	c.Restart(host, time.Second)
	c.Run(3 * time.Second)
	host.stop()
	c.Run(2 * convergenceTime)
	return c.checker.violations
}

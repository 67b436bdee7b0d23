package quarantine

import "slices"

// Decision is what an agent does with a request that is first in its queue.
type Decision uint8

// Decisions.
const (
	// DecisionRun starts the request beside others.
	DecisionRun Decision = iota + 1
	// DecisionAlone starts the request; nothing else may start until it ends.
	DecisionRunAlone
	// DecisionWait leaves the request queued.
	DecisionWait
	// DecisionRefuse refuses the request as quarantined and not run.
	DecisionRefuse
)

// Gate keeps a suspect alone on one engine. It is not safe for concurrent use.
type Gate struct {
	running  map[string]uint64
	isolated string
}

// NewGate returns a gate of an idle engine.
func NewGate() *Gate { return &Gate{running: map[string]uint64{}} }

// May decides whether an attempt whose request has the level may start now.
func (g *Gate) Decide(level Level) Decision {
	switch {
	case level >= LevelQuarantined:
		return DecisionRefuse
	case g.isolated != "" || level == LevelSuspect && len(g.running) > 0:
		return DecisionWait
	case level == LevelSuspect:
		return DecisionRunAlone
	}
	return DecisionRun
}

// Start records that an attempt was started.
func (g *Gate) Start(attempt string, fingerprint uint64, decision Decision) {
	g.running[attempt] = fingerprint
	if decision == DecisionRunAlone {
		g.isolated = attempt
	}
}

// End records that an attempt ended.
func (g *Gate) End(attempt string) {
	delete(g.running, attempt)
	if g.isolated == attempt {
		g.isolated = ""
	}
}

// Died empties the gate after the engine's death and returns the fingerprints
// that were running, and whether a suspect ran alone.
func (g *Gate) EngineCrashed() (running []uint64, ranAlone bool) {
	for _, f := range g.running {
		running = append(running, f)
	}
	slices.Sort(running)
	ranAlone = g.isolated != ""
	g.running, g.isolated = map[string]uint64{}, ""
	return running, ranAlone
}

// Alone reports whether the attempt runs alone.
func (g *Gate) RunsAlone(attempt string) bool { return g.isolated == attempt }

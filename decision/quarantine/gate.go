package quarantine

import "slices"

// Decision is what an agent does with the request at the head of its queue.
type Decision uint8

// Decisions.
const (
	// DecisionRun starts the request. Others may run at the same time.
	DecisionRun Decision = iota + 1
	// DecisionRunAlone starts the request. No other request may start until it ends.
	DecisionRunAlone
	// DecisionWait leaves the request queued.
	DecisionWait
	// DecisionRefuse refuses the request as quarantined and not run.
	DecisionRefuse
)

// Gate decides which attempts one engine may start, so that a suspect runs alone.
// It is not safe for concurrent use.
type Gate struct {
	// running maps attempts to the fingerprints of their requests.
	running map[string]uint64
	// aloneID is the attempt that runs alone, or empty.
	aloneID string
}

// NewGate returns the gate of an idle engine.
func NewGate() *Gate { return &Gate{running: map[string]uint64{}} }

// Decide returns whether an attempt whose request has the given level may start now.
func (g *Gate) Decide(level Level) Decision {
	switch {
	case level >= LevelQuarantined:
		return DecisionRefuse
	case g.aloneID != "" || level == LevelSuspect && len(g.running) > 0:
		return DecisionWait
	case level == LevelSuspect:
		return DecisionRunAlone
	}
	return DecisionRun
}

// Start records that an attempt was started.
func (g *Gate) Start(attemptID string, fingerprint uint64, decision Decision) {
	g.running[attemptID] = fingerprint
	if decision == DecisionRunAlone {
		g.aloneID = attemptID
	}
}

// End records that an attempt ended.
func (g *Gate) End(attemptID string) {
	delete(g.running, attemptID)
	if g.aloneID == attemptID {
		g.aloneID = ""
	}
}

// RecordEngineCrash resets the gate after a crash of the engine. It returns the
// fingerprints that were running and whether a suspect ran alone.
func (g *Gate) RecordEngineCrash() (running []uint64, ranAlone bool) {
	for _, f := range g.running {
		running = append(running, f)
	}
	slices.Sort(running)
	ranAlone = g.aloneID != ""
	g.running, g.aloneID = map[string]uint64{}, ""
	return running, ranAlone
}

// RunsAlone reports whether the attempt is a suspect that runs alone.
func (g *Gate) RunsAlone(attemptID string) bool { return g.aloneID == attemptID }

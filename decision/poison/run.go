package poison

import "time"

const (
	// ProvingTime is the time for which a run sends output until it proves that the parts of
	// its prompt are sound. An engine that crashes on a part does so when it begins to write, but
	// several events may have left by then.
	ProvingTime = time.Second
	// minOutputs is the number of outputs that prove that the engine does not crash before it
	// writes. It may still send one when it does.
	minOutputs = 2
)

// Proof is what a run proves about the parts of its prompt.
type Proof uint8

// Proofs.
const (
	NoProof Proof = iota
	// ProvesOutput means that engines send output for prompts with the parts.
	ProvesOutput
	// ProvesSound means that the parts crash no engine.
	ProvesSound
)

// Run follows the output of one attempt. Its zero value is that of an attempt without output.
type Run struct {
	outputs       int
	firstOutputAt time.Duration
	proven        Proof
}

// ObserveOutput records output of the engine. It returns what the run proves by it and had not
// proved before.
func (r *Run) ObserveOutput(now time.Duration) Proof {
	r.outputs++
	if r.outputs == 1 {
		r.firstOutputAt = now
	}
	switch {
	case now-r.firstOutputAt >= ProvingTime:
		return r.prove(ProvesSound)
	case r.outputs >= minOutputs:
		return r.prove(ProvesOutput)
	}
	return NoProof
}

// ObserveComplete records that the answer is known to be complete. It returns what ObserveOutput
// does.
func (r *Run) ObserveComplete() Proof {
	if r.outputs == 0 {
		return NoProof
	}
	return r.prove(ProvesSound)
}

func (r *Run) prove(p Proof) Proof {
	if p <= r.proven {
		return NoProof
	}
	r.proven = p
	return p
}

// HasOutput reports whether there was any output.
func (r *Run) HasOutput() bool { return r.outputs > 0 }

// Incriminates reports whether a crash of the engine now counts against the parts. It does not
// from ProvingTime after the first output on, also if no output came later that would prove the
// parts sound.
func (r *Run) Incriminates(now time.Duration) bool {
	return !r.HasOutput() || r.proven < ProvesSound && now-r.firstOutputAt < ProvingTime
}

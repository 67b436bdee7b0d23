package exchange

import (
	"time"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/poison"
)

// maxSuspectsPerMessage is the maximum number of suspect prompt parts in a message.
const maxSuspectsPerMessage = 64

// pendingSuspects returns the suspect prompt parts to send with the next message.
func (x *Exchange) pendingSuspects() []*arbutuspb.SuspectPart {
	reports := x.relay.PendingSuspects(maxSuspectsPerMessage)
	out := make([]*arbutuspb.SuspectPart, 0, len(reports))
	for _, r := range reports {
		m := &arbutuspb.SuspectPart{
			Part: r.Part, Generation: r.Generation, SoundAgeMs: milliseconds(r.SoundAge),
			ProofGeneration: r.ProofGeneration, ProofAgeMs: milliseconds(r.ProofAge), Condemned: r.Condemned,
			CondemnedAgeMs: milliseconds(r.CondemnedAge), Tests: uint32(r.Tests), TestAgeMs: milliseconds(r.TestAge),
		}
		for _, c := range r.Crashes {
			m.Crashes = append(m.Crashes, &arbutuspb.EngineCrash{
				Endpoint: c.Endpoint, AgeMs: milliseconds(c.Age), Begun: c.Begun, AfterOutput: c.AfterOutput, OnlyAfterOutput: c.OnlyAfterOutput,
			})
		}
		out = append(out, m)
	}
	return out
}

// decodeSuspects returns the reports of a message about suspect prompt parts.
func decodeSuspects(list []*arbutuspb.SuspectPart) []poison.Report {
	reports := make([]poison.Report, 0, len(list))
	for _, m := range list {
		r := poison.Report{
			Part: m.GetPart(), Generation: m.GetGeneration(), SoundAge: duration(m.GetSoundAgeMs()),
			ProofGeneration: m.GetProofGeneration(), ProofAge: duration(m.GetProofAgeMs()), Condemned: m.GetCondemned(),
			CondemnedAge: duration(m.GetCondemnedAgeMs()), Tests: int(m.GetTests()), TestAge: duration(m.GetTestAgeMs()),
		}
		for _, c := range m.GetCrashes() {
			r.Crashes = append(r.Crashes, poison.Crash{
				Endpoint: c.GetEndpoint(), Age: duration(c.GetAgeMs()), Begun: c.GetBegun(), AfterOutput: c.GetAfterOutput(), OnlyAfterOutput: c.GetOnlyAfterOutput(),
			})
		}
		reports = append(reports, r)
	}
	return reports
}

func milliseconds(d time.Duration) uint32 { return uint32(d.Milliseconds()) }

func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

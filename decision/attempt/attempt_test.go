package attempt

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lastActions applies the inputs to a new state machine and formats the actions that the
// last one returned.
func lastActions(t *testing.T, atMostOnce bool, inputs ...Input) string {
	t.Helper()
	m, actions := New(Config{}, Request{ID: "1-1", AtMostOnce: atMostOnce, FirstTokenTimeout: 10 * time.Second, Timeout: 10 * time.Second}, 0)
	for i, in := range inputs {
		actions = m.Step(time.Duration(i)*time.Millisecond, in)
	}
	var texts []string
	for _, a := range actions {
		texts = append(texts, strings.TrimPrefix(fmt.Sprintf("%T%v", a, a), "attempt."))
	}
	return strings.Join(texts, " ")
}

// admittedInputs returns the inputs up to the admission of the first attempt.
func admittedInputs(atMostOnce bool) []Input {
	inputs := []Input{EndpointSelected{Endpoint: "a", AgentIncarnation: 7}}
	if atMostOnce {
		inputs = append(inputs, ClaimResult{Recorded: true})
	}
	return append(inputs, Admitted{AttemptID: "1-1/1"})
}

// TestStateMachine guards against wrong decisions on inputs that the simulation of
// bench/outcomes does not produce.
func TestStateMachine(t *testing.T) {
	for name, c := range map[string]struct {
		atMostOnce bool
		inputs     []Input
		want       string
	}{
		"a refusal after the admission does not prove that the attempt did not run": {
			true, append(admittedInputs(true), Refused{AttemptID: "1-1/1", Reason: "busier"}), "Resolve{1-1/1 a 7}"},
		"tokens sent twice are delivered once": {
			false, append(admittedInputs(false), Chunk{"1-1/1", 0, []string{"x", "y"}}, Chunk{"1-1/1", 1, []string{"y", "z"}}),
			"Deliver{2 [z]}"},
		"an event of another attempt is ignored": {
			false, append(admittedInputs(false), Chunk{"2-1/1", 0, []string{"x"}}), ""},
		"a lost last token is detected": {
			false, append(admittedInputs(false), Chunk{"1-1/1", 0, []string{"x"}}, Completed{AttemptID: "1-1/1", EndOffset: 2}),
			"Cancel{1-1/1 a 7} AskRetry{gap}"},
		"a failure after output is not reported as not run": {
			false, append(admittedInputs(false), Chunk{"1-1/1", 0, []string{"x"}}, Failed{AttemptID: "1-1/1"}, RetryDecision{}),
			"Finish{unknown upstream_failed retry budget is used up after  0s []}"},
		"a fenced attempt's claim is replaced": {
			true, append(admittedInputs(true), ConnectionLost{"1-1/1", true}, ResolveResult{AttemptID: "1-1/1", Outcome: ResolvedNotRun},
				RetryDecision{Allowed: true}, EndpointSelected{Endpoint: "b", AgentIncarnation: 8}),
			"Claim{1-1/2 b 8 1-1/1}"},
		"a request that ends without running releases its key": {
			true, append(admittedInputs(true)[:2], Refused{AttemptID: "1-1/1", Reason: "quarantined"}),
			"FinishClaim{1-1/1 2 false []} Finish{not_run quarantined quarantined 0s []}"},
		"a disconnected caller does not cancel an at-most-once attempt": {
			true, append(admittedInputs(true), CallerDisconnected{}), "Finish{unknown  caller went away 0s []}"},
		"an attempt that replaced the holder of the key is resolved in turn": {
			true, []Input{EndpointSelected{Endpoint: "a"}, KeyRecord{State: KeyClaimed, AttemptID: "9-9/1", Endpoint: "b", AgentIncarnation: 3},
				ResolveResult{AttemptID: "9-9/1", Outcome: ResolvedUnknown},
				KeyRecord{State: KeyClaimed, AttemptID: "9-9/2", Endpoint: "c", AgentIncarnation: 4}}, "Resolve{9-9/2 c 4}"},
		"a holder whose outcome its agent does not know is recorded as unknown": {
			true, []Input{EndpointSelected{Endpoint: "a"}, KeyRecord{State: KeyClaimed, AttemptID: "9-9/1", Endpoint: "b", AgentIncarnation: 3},
				ResolveResult{AttemptID: "9-9/1", Outcome: ResolvedUnknown}, KeyRecord{State: KeyClaimed, AttemptID: "9-9/1"}},
			"FinishClaim{9-9/1 3 false []} Finish{unknown outcome_unknown the agent can't tell what became of the attempt 0s []}"},
		"a closed key is not claimed again": {
			true, []Input{EndpointSelected{Endpoint: "a"}, KeyRecord{State: KeyNotRun}},
			"Finish{not_run already_not_run the key was closed without running 0s []}"},
		"an answer that is no longer stored is reported as expired": {
			true, []Input{EndpointSelected{Endpoint: "a"}, KeyRecord{State: KeyDone}},
			"Finish{unknown answer_expired the request ran; its answer is no longer kept 0s []}"},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, lastActions(t, c.atMostOnce, c.inputs...), c.want)
		})
	}
}

// TestRunningCopyUntilDeadline guards against reporting "not run" for a request while
// an earlier copy with the same key still runs.
func TestRunningCopyUntilDeadline(t *testing.T) {
	m, _ := New(Config{}, Request{ID: "1-1", AtMostOnce: true, FirstTokenTimeout: time.Second, Timeout: time.Second}, 0)
	m.Step(0, EndpointSelected{Endpoint: "a"})
	m.Step(0, KeyRecord{State: KeyClaimed, AttemptID: "9-9/1", Endpoint: "b", AgentIncarnation: 3})
	assert.Equal(t, len(m.Step(0, ResolveResult{AttemptID: "9-9/1", Outcome: ResolvedRunning})), 0)
	again := m.Step(m.NextTick(), Tick{})
	assert.DeepEqual(t, again, []Action{Resolve{"9-9/1", "b", 3}})
	end := m.Step(time.Second, Tick{})
	assert.DeepEqual(t, end, []Action{Finish{Outcome: OutcomeUnknown, Code: CodeStillRunning, Reason: "time is up"}})
}

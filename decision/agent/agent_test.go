package agent

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/decision/admission"
	"github.com/arbutusline/arbutusline/decision/attempts"
	"github.com/arbutusline/arbutusline/decision/quarantine"
	"github.com/arbutusline/arbutusline/rules"
)

const agentIncarnation = 7

func compileRules(t *testing.T, version uint64, extraLines ...string) *rules.View {
	lines := append([]string{
		"team audit token-sha256 " + strings.Repeat("ab", 32) + " # anitha: test",
		"endpoint llm-01 model ledger-llm host h-01 zone kochi-a # anitha: test",
		"allow audit model ledger-llm # anitha: test",
	}, extraLines...)
	v, err := rules.Compile("test", version, strings.Join(lines, "\n"))
	assert.NilError(t, err)
	return v
}

// script runs the commands of a testdata file against one state machine.
type script struct {
	t            *testing.T
	stateMachine *StateMachine
	now          time.Duration
}

func newScript(t *testing.T) *script {
	return &script{t: t, stateMachine: New(Config{Admission: admission.Config{
		Endpoint: "llm-01", AgentIncarnation: agentIncarnation, MaxRunning: 4, MaxPrefills: 4,
	}})}
}

func (s *script) run(d *datadriven.TestData) string {
	switch d.Cmd {
	case "rules":
		var extraLines []string
		if d.Input != "" {
			extraLines = strings.Split(d.Input, "\n")
		}
		var version int
		d.ScanArgs(s.t, "version", &version)
		s.stateMachine.SetRules(s.now, compileRules(s.t, uint64(version), extraLines...))
	case "engine":
		s.engine(d)
	case "offer":
		return s.offer(d) + s.actions()
	case "token":
		return s.token(d) + s.actions()
	case "read":
		return s.read(d) + s.actions()
	case "attach":
		return s.attach(d) + s.actions()
	case "resolve":
		return s.resolve(d)
	case "event":
		return s.event(d) + s.actions()
	case "sleep":
		wait, err := time.ParseDuration(d.CmdArgs[0].Key)
		assert.NilError(s.t, err)
		s.now += wait
		s.stateMachine.Tick(s.now)
	default:
		d.Fatalf(s.t, "unknown command %q", d.Cmd)
	}
	return s.actions()
}

func (s *script) engine(d *datadriven.TestData) {
	switch d.CmdArgs[0].Key {
	case "up":
		s.stateMachine.EngineUp(s.now, 100, "v1")
	case "alive":
		s.stateMachine.EngineAlive(s.now)
	case "down":
		s.stateMachine.EngineDown(s.now)
	}
}

func stringArg(s *script, d *datadriven.TestData, name, defaultValue string) string {
	if d.HasArg(name) {
		d.ScanArgs(s.t, name, &defaultValue)
	}
	return defaultValue
}

func intArg(s *script, d *datadriven.TestData, name string, defaultValue int) int {
	if d.HasArg(name) {
		d.ScanArgs(s.t, name, &defaultValue)
	}
	return defaultValue
}

func (s *script) offer(d *datadriven.TestData) string {
	reply := s.stateMachine.Offer(s.now, Offer{
		Attempt: admission.Attempt{
			ID: stringArg(s, d, "id", ""), Team: "audit", AgentIncarnation: uint64(intArg(s, d, "incarnation", agentIncarnation)),
			PromptTokens: 64, MaxTokens: 8, WeightsVersion: "v1",
			Fingerprint:      uint64(intArg(s, d, "body", 1)),
			SuspicionLevel:   intArg(s, d, "suspicion", 0),
			FirstTokenBudget: time.Duration(intArg(s, d, "budget-ms", 650)) * time.Millisecond,
			MustQueue:        true,
		},
		AtMostOnce: d.HasArg("once"), Router: stringArg(s, d, "router", "r1"),
	})
	kind := map[ReplyKind]string{ReplyRefused: "refused", ReplyAdmitted: "admitted", ReplyDuplicate: "duplicate", ReplyOutcomeUnknown: "outcome unknown"}
	return strings.TrimSpace(fmt.Sprintf("%s %s", kind[reply.Kind], reply.Reason)) + "\n"
}

func (s *script) token(d *datadriven.TestData) string {
	index := intArg(s, d, "index", 0)
	paused, err := s.stateMachine.AppendToken(s.now, stringArg(s, d, "id", ""), index, stringArg(s, d, "text", "x"))
	if err != nil {
		return "error: " + err.Error() + "\n"
	}
	if index == 0 {
		s.stateMachine.RecordFirstToken(s.now, stringArg(s, d, "id", ""))
	}
	return fmt.Sprintf("paused=%t\n", paused)
}

func (s *script) read(d *datadriven.TestData) string {
	offset, tokens, ended, err := s.stateMachine.Read(stringArg(s, d, "id", ""), intArg(s, d, "reader", 1), 100)
	if err != nil {
		return "error: " + err.Error() + "\n"
	}
	return fmt.Sprintf("offset=%d tokens=%q ended=%t\n", offset, tokens, ended)
}

func (s *script) attach(d *datadriven.TestData) string {
	id, reader, err := s.stateMachine.Attach(s.now, stringArg(s, d, "request", ""), stringArg(s, d, "team", "audit"), stringArg(s, d, "router", "r2"), intArg(s, d, "offset", -1))
	if err != nil {
		return "error: " + err.Error() + "\n"
	}
	return fmt.Sprintf("%s reader=%d\n", id, reader)
}

var outcomeNames = map[attempts.Outcome]string{
	attempts.OutcomeNotRun: "not run", attempts.OutcomeRunning: "running", attempts.OutcomeDone: "done",
	attempts.OutcomePartial: "partial", attempts.OutcomeUnknown: "unknown",
}

func (s *script) resolve(d *datadriven.TestData) string {
	r := s.stateMachine.Resolve(s.now, stringArg(s, d, "id", ""), uint64(intArg(s, d, "incarnation", agentIncarnation)))
	return outcomeNames[r.Outcome] + "\n"
}

func (s *script) event(d *datadriven.TestData) string {
	id := stringArg(s, d, "id", "")
	switch d.CmdArgs[0].Key {
	case "done":
		s.stateMachine.RecordCompletion(s.now, id, "stop", nil)
	case "broke":
		s.stateMachine.RecordConnectionLoss(s.now, id, "endpoint_broke")
	case "rejected":
		s.stateMachine.RecordFailure(s.now, id, "endpoint_rejected", false)
	case "cancel":
		return fmt.Sprintf("cancelled=%t\n", s.stateMachine.Cancel(s.now, id, stringArg(s, d, "router", "r1")))
	case "detach":
		s.stateMachine.Detach(s.now, id, "r1", intArg(s, d, "reader", 1))
	case "suspect":
		s.stateMachine.MergeSuspicion(s.now, quarantine.Report{Fingerprint: uint64(intArg(s, d, "body", 1)), Level: quarantine.LevelSuspect})
	case "result":
		r, found := s.stateMachine.Result(id)
		return fmt.Sprintf("%s %s kept=%t suspicion=%d\n", outcomeNames[r.Outcome], r.Reason, found, s.stateMachine.SuspicionLevel(id))
	case "shutdown":
		s.stateMachine.Shutdown()
	}
	return ""
}

// actions prints the actions of the state machine except StreamChanged.
func (s *script) actions() string {
	var lines []string
	for _, action := range s.stateMachine.TakeActions() {
		if _, ok := action.(StreamChanged); ok {
			continue
		}
		lines = append(lines, strings.TrimPrefix(fmt.Sprintf("%T%v", action, action), "agent."))
	}
	sort.Strings(lines)
	if len(lines) == 0 {
		return "ok"
	}
	return strings.Join(lines, "\n")
}

// TestScripts guards against the failures named at the head of each script in testdata.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newScript(t)
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return s.run(d) })
	})
}

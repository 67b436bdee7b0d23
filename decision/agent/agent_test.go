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

const incarnation = 7

func view(t *testing.T, version uint64, more ...string) *rules.View {
	lines := append([]string{
		"team audit token-sha256 " + strings.Repeat("ab", 32) + " # anitha: test",
		"endpoint llm-01 model ledger-llm host h-01 zone kochi-a # anitha: test",
		"allow audit model ledger-llm # anitha: test",
	}, more...)
	v, err := rules.Compile("test", version, strings.Join(lines, "\n"))
	assert.NilError(t, err)
	return v
}

// script runs the commands of a testdata file against one core.
type script struct {
	t    *testing.T
	core *StateMachine
	now  time.Duration
}

func newScript(t *testing.T) *script {
	return &script{t: t, core: New(Config{Admission: admission.Config{
		Endpoint: "llm-01", AgentIncarnation: incarnation, MaxRunning: 4, MaxPrefills: 4,
	}})}
}

func (s *script) run(d *datadriven.TestData) string {
	switch d.Cmd {
	case "rules":
		var more []string
		if d.Input != "" {
			more = strings.Split(d.Input, "\n")
		}
		var version int
		d.ScanArgs(s.t, "version", &version)
		s.core.SetRules(s.now, view(s.t, uint64(version), more...))
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
		s.core.Tick(s.now)
	default:
		d.Fatalf(s.t, "unknown command %q", d.Cmd)
	}
	return s.actions()
}

func (s *script) engine(d *datadriven.TestData) {
	switch d.CmdArgs[0].Key {
	case "up":
		s.core.EngineUp(s.now, 100, "v1")
	case "alive":
		s.core.EngineAlive(s.now)
	case "down":
		s.core.EngineDown(s.now)
	}
}

func arg(s *script, d *datadriven.TestData, name, fallback string) string {
	if d.HasArg(name) {
		d.ScanArgs(s.t, name, &fallback)
	}
	return fallback
}

func number(s *script, d *datadriven.TestData, name string, fallback int) int {
	if d.HasArg(name) {
		d.ScanArgs(s.t, name, &fallback)
	}
	return fallback
}

func (s *script) offer(d *datadriven.TestData) string {
	reply := s.core.Offer(s.now, Offer{
		Attempt: admission.Attempt{
			ID: arg(s, d, "id", ""), Team: "audit", AgentIncarnation: uint64(number(s, d, "incarnation", incarnation)),
			PromptTokens: 64, MaxTokens: 8, WeightsVersion: "v1",
			Fingerprint:      uint64(number(s, d, "body", 1)),
			SuspicionLevel:   number(s, d, "suspicion", 0),
			FirstTokenBudget: time.Duration(number(s, d, "budget-ms", 650)) * time.Millisecond,
			LastCandidate:    true,
		},
		AtMostOnce: d.HasArg("once"), Router: arg(s, d, "router", "r1"),
	})
	kind := map[ReplyKind]string{ReplyRefused: "refused", ReplyAdmitted: "admitted", ReplyDuplicate: "known", ReplyOutcomeUnknown: "forgotten"}
	return strings.TrimSpace(fmt.Sprintf("%s %s", kind[reply.Kind], reply.Reason)) + "\n"
}

func (s *script) token(d *datadriven.TestData) string {
	index := number(s, d, "index", 0)
	paused, err := s.core.AppendToken(s.now, arg(s, d, "id", ""), index, arg(s, d, "text", "x"))
	if err != nil {
		return "error: " + err.Error() + "\n"
	}
	if index == 0 {
		s.core.RecordFirstToken(s.now, arg(s, d, "id", ""))
	}
	return fmt.Sprintf("paused=%t\n", paused)
}

func (s *script) read(d *datadriven.TestData) string {
	offset, tokens, ended, err := s.core.Read(arg(s, d, "id", ""), number(s, d, "reader", 1), 100)
	if err != nil {
		return "error: " + err.Error() + "\n"
	}
	return fmt.Sprintf("offset=%d tokens=%q ended=%t\n", offset, tokens, ended)
}

func (s *script) attach(d *datadriven.TestData) string {
	id, reader, err := s.core.Attach(s.now, arg(s, d, "request", ""), arg(s, d, "team", "audit"), arg(s, d, "router", "r2"), number(s, d, "offset", -1))
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
	r := s.core.Resolve(s.now, arg(s, d, "id", ""), uint64(number(s, d, "incarnation", incarnation)))
	return outcomeNames[r.Outcome] + "\n"
}

func (s *script) event(d *datadriven.TestData) string {
	id := arg(s, d, "id", "")
	switch d.CmdArgs[0].Key {
	case "done":
		s.core.RecordCompletion(s.now, id, "stop", nil)
	case "broke":
		s.core.RecordBrokenConnection(s.now, id, "endpoint_broke")
	case "rejected":
		s.core.RecordFailure(s.now, id, "endpoint_rejected", false)
	case "cancel":
		return fmt.Sprintf("cancelled=%t\n", s.core.Cancel(s.now, id, arg(s, d, "router", "r1")))
	case "detach":
		s.core.Detach(s.now, id, "r1", number(s, d, "reader", 1))
	case "suspect":
		s.core.MergeSuspicion(s.now, quarantine.Report{Fingerprint: uint64(number(s, d, "body", 1)), Level: quarantine.LevelSuspect})
	case "result":
		r, kept := s.core.Result(id)
		return fmt.Sprintf("%s %s kept=%t suspicion=%d\n", outcomeNames[r.Outcome], r.Reason, kept, s.core.SuspicionLevel(id))
	case "shutdown":
		s.core.Shutdown()
	}
	return ""
}

// actions prints what the core wants done, without the notices to readers.
func (s *script) actions() string {
	var lines []string
	for _, action := range s.core.TakeActions() {
		if _, notice := action.(StreamChanged); notice {
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

// Guards against each failure that the scripts in testdata name.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newScript(t)
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return s.run(d) })
	})
}

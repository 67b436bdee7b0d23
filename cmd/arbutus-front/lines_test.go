package main

import (
	"context"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/standin/platform"
)

// requiredFields maps each log message to the fields it must have besides time, level and
// module: the inputs of the decision with their age or version, and its outcome.
// "arbutusctl explain" and operators need them to explain failures.
var requiredFields = map[string][]string{
	// Requests.
	"request refused": {
		"request", "host", "path", "status", "reason", "configuration", "revision", "era", "source", "age_ms", "watching",
	},
	"request ended": {"request", "route", "team", "outcome", "tries", "endpoint", "configuration", "sent_ms", "first_ms", "took_ms"},
	"attempt failed": {
		"request", "route", "service", "endpoint", "address", "software", "try", "result", "status", "weights", "cost_ms", "age_ms",
		"left_ms", "last_event", "configuration", "shared_parts", "head", "events", "try_ms", "error",
		"connection", "carried", "skipped",
	},
	"skipped response to another request": {"request", "address", "connection", "carried", "response_to", "status", "not_run"},
	"request refused because of overload": {
		"request", "route", "service", "reason", "endpoint", "wait_ms", "prefill_ms", "margin_ms", "objective_ms", "left_ms",
		"retry_after_ms", "team", "priority", "pressure", "own_pressure", "team_excess",
	},
	"failed to write response to caller":   {"request", "error"},
	"failed to flush events to caller":     {"request", "error"},
	"failed to reset connection of caller": {"request", "error"},

	// Endpoints.
	"endpoint added or changed state":             {"endpoint", "service", "address", "software", "draining"},
	"endpoint says that it leaves":                {"endpoint", "service", "address"},
	"leaving endpoint remembered":                 {"endpoint", "service", "sequence"},
	"endpoint revoked that it leaves":             {"endpoint", "service", "sequence", "before"},
	"endpoint removed":                            {"endpoint", "service", "address"},
	"endpoint suspended":                          {"request", "endpoint", "address", "result", "failure_share", "suspensions", "for_ms"},
	"endpoint restored":                           {"request", "endpoint", "address", "failure_share"},
	"endpoint weights version updated":            {"endpoint", "model", "weights"},
	"failed to fetch engine status":               {"endpoint", "error"},
	"failed to refresh weights version of engine": {"endpoint", "error"},
	"engine restarted with an empty cache":        {"endpoint", "epoch"},
	"KV cache store reachability changed":         {"address", "down"},
	"cache namespace of shared parts changed":     {"configuration", "namespace"},

	// Memory.
	"memory bounded": {"soft_limit_bytes", "endpoints_bytes", "control_bytes", "callers_bytes"},
	"response given up because memory for responses is short": {"pool", "held", "wanted", "used", "team", "team_held", "team_share"},
	"request refused because memory for callers is short": {
		"request", "reason", "pool", "team", "team_held", "wanted", "used", "limit", "largest_team", "largest_held", "retry_after_ms",
	},
	"connection closed because the caller reads nothing": {"request", "address", "limit_ms", "unsent"},
	"failed to bound the rest of a refused body":         {"request", "error"},
	"failed to bound send buffer of caller":              {"error"},

	// Limits that endpoints state.
	"endpoint request limit changed":                  {"endpoint", "limit", "before", "routers", "source"},
	"ignored malformed request limit":                 {"request", "endpoint", "error"},
	"endpoint asked for a pause":                      {"request", "endpoint", "status", "for_ms"},
	"ignored malformed time to return to an endpoint": {"request", "endpoint", "error"},
	"request refused because of endpoint limits":      {"request", "route", "service", "ready_ms", "rate", "retry_after_ms"},

	// Quotas of teams.
	"quota of team changed":                            {"team", "rate_per_s", "burst", "unit", "rate_before", "burst_before", "configuration"},
	"request refused because of the quota of its team": {"request", "route", "service", "team", "units", "quota_level", "share", "retry_after_ms"},
	"ignored malformed token count":                    {"request", "error"},
	"ignored invalid reports about quotas":             {"router", "reports"},

	// Software versions of streams.
	"software versions assigned to streams":                         {"service", "sequence", "era", "slots", "moved", "lifetime_ms"},
	"stream lifetime changed":                                       {"service", "configured_ms", "longest_ms"},
	"record of a stream contradicts the table of software versions": {"service", "stream", "table", "record", "sequence"},
	"failed to write software versions":                             {"service", "sequence", "error"},
	"ignored invalid table of software versions":                    {"service", "error"},
	"stream not continued because its software version is unknown":  {"request", "route", "service", "resumes", "after_event"},
	"took over records of streams":                                  {"router", "records"},
	"failed to write records of streams":                            {"error"},
	"failed to list records of streams":                             {"error"},
	"failed to encode records of streams":                           {"error"},
	"ignored invalid records of streams":                            {"router", "error"},

	"endpoint is silent and no other one can take the request": {"request", "route", "service", "endpoint", "try", "reason", "begun", "try_ms"},

	// Budgets and requests that crash endpoints.
	"retry budget exhausted":                        {"service", "first", "retries", "slack"},
	"retry budget available again":                  {"service", "first", "retries", "slack"},
	"refusing request because it crashes endpoints": {"fingerprint", "endpoint", "age_ms", "source"},

	"prompt part condemned or cleared":      {"part", "change", "crashes", "moments", "other_crashes", "tests", "source"},
	"request tests a condemned prompt part": {"request", "part"},

	// Estimates of costs.
	"estimated the cost of a request": {
		"request", "route", "service", "team", "endpoint", "try", "known", "output_tokens", "output_p90", "observed_tokens", "complete", "hint",
		"computed_tokens", "prefill_tokens_per_ms", "speed", "speed_samples", "wait_ms", "prefill_ms", "first_ms",
	},
	"ignored implausible endpoint speed": {"router", "endpoint", "speed", "samples"},

	// Weights changes.
	"weights version published":                                  {"model", "weights"},
	"order lease acquired or lost":                               {"fence", "held"},
	"order lease has a new holder or fencing token":              {"holder", "fence", "revision"},
	"store call for order lease failed; reading the lease again": {"fence", "error"},
	"weights order sent":                                         {"endpoint", "model", "weights", "fence", "orders", "status", "result"},
	"failed to encode weights order":                             {"error"},
	"weights change started":                                     {"endpoint", "model", "weights", "from"},
	"weights change has a newer target":                          {"endpoint", "model", "weights", "before"},
	"weights change postponed":                                   {"endpoint", "model", "weights", "misses", "for_ms"},
	"weights change completed":                                   {"endpoint", "model", "weights"},
	"request sent to superseded weights": {
		"request", "route", "service", "endpoint", "try", "weights", "newest", "newest_loaded", "superseded_ms", "wait_ms",
		"prefill_ms", "running_own", "running_remote", "pending_own", "pending_remote", "store_reachable", "moved", "age_ms",
	},
	"request started on superseded weights": {
		"request", "route", "service", "endpoint", "try", "weights", "newest", "superseded_ms", "wait_ms", "prefill_ms", "took_ms",
	},

	// Dependencies.
	"store unreachable":                   {"kind", "error"},
	"store reachable again":               {"kind"},
	"store came back from a copy":         {"era", "before"},
	"router added":                        {"address"},
	"router unreachable":                  {"address", "error"},
	"router reachable again":              {"address"},
	"router registered":                   {"era"},
	"failed to register router; retrying": {"error"},
	"store lacks the requested changes; listing objects again": {"kind", "era", "revision", "error"},
	"configuration applied":                          {"version", "source", "revision", "era"},
	"taking configurations of the store":             {"reason", "era", "stated", "waited_ms"},
	"ignored invalid configuration":                  {"source", "revision", "era", "error"},
	"ignored store object with invalid content":      {"revision", "error"},
	"ignored store entry that is not a valid object": {"kind"},

	// Processor time and catching up after a start.
	"process short of processor time":         {"delay_ms", "cpu_ms", "goroutines"},
	"process has enough processor time again": {"for_ms", "max_delay_ms", "cpu_ms"},
	"cache events caught up":                  {"sources", "events", "took_ms"},

	// Start and failure of servers.
	"serving callers":            {"address"},
	"server for callers failed":  {"error"},
	"serving metrics and health": {"address"},
	"admin server failed":        {"error"},
	"serving gRPC":               {"address"},
	"gRPC server failed":         {"error"},
}

// logChecker is a log hook that fails the test if a message is not in requiredFields or
// lacks a required field.
type logChecker struct {
	t              *testing.T
	mu             sync.Mutex
	loggedMessages map[string]bool
}

// Levels implements logrus.Hook.
func (c *logChecker) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (c *logChecker) Fire(e *logrus.Entry) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loggedMessages[e.Message] = true
	want, listed := requiredFields[e.Message]
	if !listed {
		c.t.Errorf("log message %q is not in the table", e.Message)
	}
	for _, field := range append([]string{"module"}, want...) {
		if _, ok := e.Data[field]; !ok {
			c.t.Errorf("log message %q has no field %q: %v", e.Message, field, e.Data)
		}
	}
	return nil
}

// wasLogged reports whether a message was logged.
func (c *logChecker) wasLogged(message string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loggedMessages[message]
}

// Guards against a new log message without an entry in requiredFields, and against an
// entry whose message no code logs.
func TestLogMessageTableIsComplete(t *testing.T) {
	logged := map[string]bool{}
	for _, name := range modules {
		dir := map[string]string{"log": "logging", "cache_events": "cacheevents", "grpc": "grpcserver", "stream_versions": "streamversions"}[name]
		if dir == "" {
			dir = name
		}
		files, err := filepath.Glob(filepath.Join("../../modules", dir, "*.go"))
		assert.NilError(t, err)
		assert.Assert(t, len(files) > 0, "module %s has no files", name)
		for _, file := range files {
			if !strings.HasSuffix(file, "_test.go") {
				for _, m := range constantLogMessages(t, file) {
					logged[m] = true
				}
			}
		}
	}
	for m := range logged {
		_, listed := requiredFields[m]
		assert.Check(t, listed, "log message %q is not in the table", m)
	}
	for m := range requiredFields {
		assert.Check(t, logged[m], "no code logs the message %q", m)
	}
}

// constantLogMessages returns the constant messages that a file logs.
func constantLogMessages(t *testing.T, file string) []string {
	text, err := os.ReadFile(file)
	assert.NilError(t, err)
	parsed, err := parser.ParseFile(token.NewFileSet(), file, text, 0)
	assert.NilError(t, err)
	var messages []string
	ast.Inspect(parsed, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || len(call.Args) != 1 {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || !slices.Contains([]string{"Debug", "Info", "Warn", "Error"}, method.Sel.Name) {
			return true
		}
		if literal, ok := call.Args[0].(*ast.BasicLit); ok && literal.Kind == token.STRING {
			message, err := strconv.Unquote(literal.Value)
			assert.NilError(t, err)
			messages = append(messages, message)
		}
		return true
	})
	return messages
}

// Guards against a decision or state change that explains a failed request but is not
// logged. logChecker checks the fields of each message.
func TestDecisionsAreLogged(t *testing.T) {
	c := newCluster(t)
	a1 := c.startEndpoint(appEndpoint("a1"))
	c.startEndpoint(engineEndpoint("e1"))
	router, other := c.startRouter(), c.startRouter()
	router.send("refused", http.MethodGet, "/look/x", "", "Authorization", "Token nobody")
	a1.InjectFault(2, platform.FaultNoResponse)
	for i := range 3 {
		router.send(fmt.Sprintf("unsafe-%d", i), http.MethodPost, "/post/x", "entry")
	}
	a1.InjectFault(0, "")
	c.eventually("the endpoint is restored", func() bool {
		router.send("look", http.MethodGet, "/look/x", "")
		return c.logs.wasLogged("endpoint restored")
	})
	c.store.Put("versions", "m", map[string]any{"model": "m", "version": 2})
	c.eventually("the weights change", func() bool { return c.logs.wasLogged("weights change completed") })
	router.storeProxy.MakeUnavailable()
	assert.NilError(t, other.kernel.Stop(context.Background()))
	for _, message := range []string{
		"serving callers", "router registered", "configuration applied", "endpoint added or changed state", "router added",
		"request refused", "attempt failed", "request ended", "endpoint suspended", "endpoint restored",
		"weights version published", "order lease acquired or lost", "weights change started", "weights order sent", "weights change completed",
		"store unreachable", "router unreachable",
	} {
		c.eventually(message, func() bool { return c.logs.wasLogged(message) })
	}
}

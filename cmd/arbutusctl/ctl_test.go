package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
	client "github.com/arbutusline/arbutusline/modules/objectstore"
	"github.com/arbutusline/arbutusline/objectstore"
	"github.com/arbutusline/arbutusline/objectstore/fake"
	"github.com/arbutusline/arbutusline/ruleadmin"
	"github.com/arbutusline/arbutusline/standin/objectapi"
)

// fixture runs the program against an in-memory store and fake routers and agents.
type fixture struct {
	t             *testing.T
	dir           string
	store         objectstore.Store
	peerAddresses map[string]string // by name
}

func newFixture(t *testing.T) *fixture {
	return &fixture{t: t, dir: t.TempDir(), store: fake.New(), peerAddresses: map[string]string{}}
}

// runCommand runs one command line and returns its output and exit code. $NAME stands
// for the address of a peer. Rules and settings files are in the directory of the test.
func (f *fixture) runCommand(line string) string {
	for name, address := range f.peerAddresses {
		line = strings.ReplaceAll(line, "$"+name, address)
	}
	var args []string
	for _, a := range regexp.MustCompile(`"[^"]*"|\S+`).FindAllString(line, -1) {
		a = strings.Trim(a, `"`)
		if strings.HasSuffix(a, ".rules") || strings.HasSuffix(a, ".json") {
			a = filepath.Join(f.dir, a)
		}
		args = append(args, a)
	}
	var out bytes.Buffer
	exitCode := run(args, environment{
		stdin: strings.NewReader(""), stdout: &out, stderr: &out, exit: func(int) {},
		openStore: func([]string) (objectstore.Store, error) { return f.store, nil },
		ruleAdminOptions: ruleadmin.Options{
			MaxAttempts: 3, Now: func() time.Time { return time.Unix(1_800_000_000, 0) },
			Sleep: func(ctx context.Context, _ time.Duration) error { return ctx.Err() },
		},
	})
	text := strings.ReplaceAll(out.String(), f.dir+"/", "")
	for name, address := range f.peerAddresses {
		text = strings.ReplaceAll(text, address, "$"+name)
	}
	return fmt.Sprintf("%sexit %d\n", text, exitCode)
}

// Guards against wrong exit codes, an apply that removes lines of other authors because
// it assumes a wrong base version, and drains that bypass the checks. Each script has
// its own store.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		f, store := newFixture(t), fake.New()
		f.store = store
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "file":
				assert.NilError(t, os.WriteFile(filepath.Join(f.dir, d.CmdArgs[0].Key), []byte(d.Input+"\n"), 0o600))
				return ""
			case "outage":
				store.SetOutage(d.HasArg("on"))
				store.OnCall(nil)
				return ""
			case "lose":
				loseResponseOfNextRulesWrite(store)
				return ""
			}
			return f.runCommand(d.Input)
		})
	})
}

// loseResponseOfNextRulesWrite lets the next write of the rules take effect, drops its
// response and starts an outage.
func loseResponseOfNextRulesWrite(store *fake.Store) {
	store.OnCall(func(_ context.Context, c fake.Call) fake.Fault {
		if c.Key != ruleadmin.CurrentKey || !c.IsWrite() {
			return fake.NoFault
		}
		store.OnCall(func(context.Context, fake.Call) fake.Fault { return fake.Unavailable })
		return fake.LostResponse
	})
}

// Guards against a change that fails or is applied twice after a lost HTTP response, and
// against a wrong exit code in an outage.
func TestApplyOverHTTP(t *testing.T) {
	f, api := newFixture(t), objectapi.New(objectapi.Config{})
	server := httptest.NewServer(api.Handler())
	defer server.Close()
	store, err := client.NewClient([]string{server.URL})
	assert.NilError(t, err)
	f.store = store
	text := fmt.Sprintf("team a token-sha256 %s # ann: start\nendpoint e1 model m host h1 zone z # ann: start\n", strings.Repeat("ab", 32))
	assert.NilError(t, os.WriteFile(filepath.Join(f.dir, "a.rules"), []byte(text), 0o600))

	api.SetFaults(objectapi.Faults{LoseWriteResponses: 1})
	assert.Equal(t, f.runCommand("apply a.rules --base 0 --store http://x"), "version 1 is in force\nexit 0\n")
	// The responses to the writes of the history object and of the new version are lost.
	api.SetFaults(objectapi.Faults{LoseWriteResponses: 2})
	got := f.runCommand("drain e1 --who jose --why repair --store http://x")
	assert.Assert(t, strings.HasPrefix(got, "version 2 is in force\n"), got)
	api.SetFaults(objectapi.Faults{Outage: true})
	got = f.runCommand("undrain e1 --who jose --why done --store http://x")
	assert.Assert(t, strings.HasSuffix(got, "exit 4\n"), got)
	api.SetFaults(objectapi.Faults{})
	got = f.runCommand("history --store http://x")
	assert.Assert(t, strings.Contains(got, "jose  +1 -0  repair"), got)
}

// fakePeer is a router or agent that answers with fixed values.
type fakePeer struct {
	arbutuspb.UnimplementedPeerServer
	status       *arbutuspb.StatusResponse
	explanations map[string]*arbutuspb.ExplainResponse
}

func (p *fakePeer) Status(context.Context, *arbutuspb.StatusRequest) (*arbutuspb.StatusResponse, error) {
	return p.status, nil
}

func (p *fakePeer) Explain(_ context.Context, r *arbutuspb.ExplainRequest) (*arbutuspb.ExplainResponse, error) {
	if e, ok := p.explanations[r.RequestId]; ok {
		return e, nil
	}
	return &arbutuspb.ExplainResponse{RequestId: r.RequestId}, nil
}

func (f *fixture) listen(name string) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	f.peerAddresses[name] = l.Addr().String()
	return l
}

func (f *fixture) servePeer(l net.Listener, p *fakePeer) {
	server := grpc.NewServer()
	arbutuspb.RegisterPeerServer(server, p)
	go func() { _ = server.Serve(l) }()
	f.t.Cleanup(server.Stop)
}

// newFleet starts the routers r1 and r2 and the agent a1. r1 reports the other two, r2
// with an old rules version, and a dead agent named gone.
func newFleet(t *testing.T) *fixture {
	f := newFixture(t)
	routerListener1, routerListener2, agentListener := f.listen("r1"), f.listen("r2"), f.listen("a1")
	assert.NilError(t, f.listen("gone").Close())
	member := func(name, role, state string, version uint64, incarnation uint64) *arbutuspb.Member {
		return &arbutuspb.Member{
			Name: name, Role: role, Zone: "kochi-a", Address: f.peerAddresses[name], State: state,
			RulesVersion: version, Incarnation: incarnation,
		}
	}
	r1, r2 := member("r1", "router", "alive", 7, 35), member("r2", "router", "alive", 6, 36)
	a1, dead := member("a1", "agent", "alive", 7, 37), member("gone", "agent", "dead", 3, 38)
	f.servePeer(routerListener1, &fakePeer{status: &arbutuspb.StatusResponse{
		Self: r1, RulesVersion: 7, Members: []*arbutuspb.Member{r2, a1, dead},
	}})
	f.servePeer(routerListener2, &fakePeer{
		status: &arbutuspb.StatusResponse{Self: member("r2", "router", "alive", 7, 36), RulesVersion: 7},
		explanations: map[string]*arbutuspb.ExplainResponse{"10-5@a1": {
			Found: true, RequestId: "10-5", Team: "kaayal-audit", Outcome: "done",
			Steps: []*arbutuspb.ExplainStep{
				{What: "refused", Endpoint: "llm-01", Reason: "queue_full"},
				{AtMs: 12, What: "admitted", Endpoint: "a1", CostMs: 3.5, CachedTokens: 640},
			},
		}},
	})
	f.servePeer(agentListener, &fakePeer{status: &arbutuspb.StatusResponse{
		Self: a1, RulesVersion: 7, Load: &arbutuspb.LoadReport{Running: 2, Waiting: 1, QueueMs: 40, Draining: true},
	}})
	return f
}

// collapseSpaces replaces runs of spaces by one, because column widths depend on the
// length of the port numbers.
func collapseSpaces(text string) string { return regexp.MustCompile(` +`).ReplaceAllString(text, " ") }

// Guards against a status that hides processes that are behind, dead or not answering.
func TestStatusShowsProcessesBehind(t *testing.T) {
	f := newFleet(t)
	assert.Equal(t, collapseSpaces(f.runCommand("status --router $r1 --strict")), `NAME ROLE ZONE STATE RULES BEHIND FROM ADDRESS NOTE
r1 router kochi-a alive 7 0 asked $r1 
r2 router kochi-a alive 6 1 gossip $r2 
a1 agent kochi-a alive 7 0 gossip $a1 
gone agent kochi-a dead 3 4 gossip $gone 
rules version 7 (newest in processes): 2 up to date, 1 behind, 1 suspect, dead or not answering
arbutusctl: 1 behind, 1 suspect, dead or not answering
exit 7
`)
	got := collapseSpaces(f.runCommand("status --router $r1 --all"))
	assert.Assert(t, strings.Contains(got, "r2 router kochi-a alive 7 0 asked $r2"), got)
	assert.Assert(t, strings.Contains(got, "a1 agent kochi-a alive 7 0 asked $a1 draining, 2 running, 1 waiting, 40 ms"), got)
	assert.Assert(t, strings.Contains(got, "3 up to date, 0 behind, 1 suspect"), got)

	got = f.runCommand("status --agent $gone --agent $a1 --output json")
	assert.Assert(t, strings.Contains(got, `"state": "no answer"`), got)
	assert.Assert(t, strings.HasSuffix(got, "exit 0\n"), got)
	got = f.runCommand("status --agent $gone")
	assert.Assert(t, strings.HasSuffix(got, "exit 4\n"), got)
}

// Guards against reporting a request as unknown when the router that created its id has a
// record of it but is not among the given routers.
func TestExplainFindsOwningRouter(t *testing.T) {
	f := newFleet(t)
	want := `request 10-5 of team kaayal-audit, outcome done, reported by $r2
MS WHAT ENDPOINT COST MS CACHED REASON
0 refused llm-01 queue_full
12 admitted a1 3.5 640 
exit 0
`
	assert.Equal(t, collapseSpaces(f.runCommand("explain 10-5@a1 --router $r1 --router $r2")), want)
	assert.Equal(t, collapseSpaces(f.runCommand("explain 10-5@a1 --router $gone --router $r1")), want)
	assert.Assert(t, strings.HasSuffix(f.runCommand("explain zz-1 --router $r1"), "exit 6\n"))
	assert.Assert(t, strings.HasSuffix(f.runCommand("explain 10-5 --router $gone"), "exit 4\n"))
	assert.Assert(t, strings.HasSuffix(f.runCommand("explain 10-5"), "exit 1\n"))
}

// Guards against an explanation that contains lines of other requests, has the lines of
// several hosts in the wrong order, or fails on lines of other programs.
func TestExplainReadsLogs(t *testing.T) {
	dir := t.TempDir()
	firstLog, secondLog := filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")
	assert.NilError(t, os.WriteFile(firstLog, []byte(`not a line of ours: request r-1
  4.05 front-a {"time":"2026-01-26T04:26:42Z","module":"ingress","msg":"request ended","request":"r-1","outcome":"failed","reason":"broken","endpoint":"e1","took_ms":1501,"tries":1}
{"time":"2026-01-26T04:26:42Z","module":"ingress","msg":"request ended","request":"r-12","outcome":"served"}
{"half
`), 0o600))
	assert.NilError(t, os.WriteFile(secondLog, []byte(`{"time":"2026-01-26T04:26:41Z","module":"relay","msg":"attempt failed","request":"r-1","result":"broken","endpoint":"e1","age_ms":1501,"error":"connection reset"}
`), 0o600))
	f := newFleet(t)
	assert.Equal(t, f.runCommand("explain r-1 --logs "+firstLog+" --logs "+secondLog),
		`2026-01-26T04:26:41Z relay: attempt failed result=broken endpoint=e1 after=1.501s error=connection reset
2026-01-26T04:26:42Z 4.05 front-a ingress: request ended outcome=failed reason=broken endpoint=e1 after=1.501s
cause: the connection to the endpoint ended before its answer was complete; the request may have run
exit 0
`)
	assert.Assert(t, strings.HasSuffix(f.runCommand("explain r-2 --logs "+firstLog), "exit 6\n"))
}

package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/grpc"
	"google.golang.org/grpc/status"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
)

type explainCmd struct {
	RequestID string   `arg:"" name:"request-id" help:"Request id, from the X-Request-Id header."`
	LogFiles  []string `name:"logs" help:"Read these log files instead of asking routers; - is standard input." sep:"none"`
}

// explanation is the output of explain for a request that a router recorded.
type explanation struct {
	RequestID string            `json:"request_id"`
	Router    string            `json:"router"`
	Team      string            `json:"team"`
	Outcome   string            `json:"outcome"`
	Steps     []explanationStep `json:"steps"`
}

type explanationStep struct {
	ElapsedMS    int64   `json:"at_ms"`
	Event        string  `json:"what"`
	Endpoint     string  `json:"endpoint,omitempty"`
	Reason       string  `json:"reason,omitempty"`
	CostMS       float64 `json:"cost_ms,omitempty"`
	CachedTokens int32   `json:"cached_tokens,omitempty"`
}

// Run asks the given routers, then the router that created the request id, until one
// has a record of the request.
func (c *explainCmd) Run(inv *invocation) error {
	if len(c.LogFiles) > 0 {
		return c.explainLogs(inv)
	}
	if len(inv.RouterAddresses) == 0 {
		return markedErrorf(errUsage, "no router to ask: give --router or a settings file")
	}
	found, err := c.askRouters(inv, inv.RouterAddresses)
	if found == nil && err == nil {
		if ownerAddress := c.owningRouter(inv); ownerAddress != "" {
			found, err = c.askRouters(inv, []string{ownerAddress})
		}
	}
	if err != nil {
		return err
	}
	if found == nil {
		return markedErrorf(errNotFound, "no router has a record of request %s; records are kept for a short time only", c.RequestID)
	}
	inv.printExplanation(*found)
	return nil
}

// askRouters returns the first explanation, nil if some router answered but none has a
// record of the request, or an error if none answered.
func (c *explainCmd) askRouters(inv *invocation, routers []string) (*explanation, error) {
	answered, failure := 0, ""
	for len(routers) > 0 {
		n := min(maxConcurrentCalls, len(routers))
		for _, r := range callAll(inv.ctx, routers[:n], c.explainCall) {
			switch {
			case r.err != nil:
				failure = r.address + ": " + status.Convert(r.err).Message()
			case r.value.GetFound():
				return newExplanation(r.address, r.value), nil
			default:
				answered++
			}
		}
		routers = routers[n:]
	}
	if answered == 0 {
		return nil, markedErrorf(errUnreachable, "%s", failure)
	}
	return nil, nil
}

func (c *explainCmd) explainCall(ctx context.Context, conn grpc.ClientConnInterface) (*arbutuspb.ExplainResponse, error) {
	return arbutuspb.NewPeerClient(conn).Explain(ctx, &arbutuspb.ExplainRequest{RequestId: c.RequestID})
}

// owningRouter returns the address of the router that created the request id, or "" if
// no given router knows it. The id starts with the incarnation of that router.
func (c *explainCmd) owningRouter(inv *invocation) string {
	prefix, _, _ := strings.Cut(c.RequestID, "-")
	incarnation, err := strconv.ParseUint(prefix, 36, 64)
	if err != nil {
		return ""
	}
	for _, r := range callAll(inv.ctx, inv.RouterAddresses[:min(maxConcurrentCalls, len(inv.RouterAddresses))], statusCall(true)) {
		for _, m := range r.value.GetMembers() {
			if m.GetIncarnation() == incarnation {
				return m.GetAddress()
			}
		}
	}
	return ""
}

func newExplanation(router string, r *arbutuspb.ExplainResponse) *explanation {
	e := &explanation{RequestID: r.RequestId, Router: router, Team: r.Team, Outcome: r.Outcome}
	for _, step := range r.Steps {
		e.Steps = append(e.Steps, explanationStep{
			ElapsedMS: step.AtMs, Event: step.What, Endpoint: step.Endpoint, Reason: step.Reason,
			CostMS: step.CostMs, CachedTokens: step.CachedTokens,
		})
	}
	return e
}

func (inv *invocation) printExplanation(e explanation) {
	if inv.jsonOutput {
		inv.printJSON(e)
		return
	}
	fmt.Fprintf(inv.stdout, "request %s of team %s, outcome %s, reported by %s\n", e.RequestID, e.Team, e.Outcome, e.Router)
	rows := [][]string{{"MS", "WHAT", "ENDPOINT", "COST MS", "CACHED", "REASON"}}
	for _, step := range e.Steps {
		cost, cached := "", ""
		if step.CostMS > 0 {
			cost = strconv.FormatFloat(step.CostMS, 'f', 1, 64)
		}
		if step.CachedTokens > 0 {
			cached = strconv.Itoa(int(step.CachedTokens))
		}
		rows = append(rows, []string{strconv.FormatInt(step.ElapsedMS, 10), step.Event, step.Endpoint, cost, cached, step.Reason})
	}
	inv.printTable(rows)
}

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
	RequestID string   `arg:"" name:"request-id" help:"Request id, from X-Request-Id."`
	Logs      []string `help:"Read these log files instead of asking routers; - is standard input." sep:"none"`
}

// explanation is the output of the command.
type explanation struct {
	RequestID string            `json:"request_id"`
	Router    string            `json:"router"`
	Team      string            `json:"team"`
	Outcome   string            `json:"outcome"`
	Steps     []explanationStep `json:"steps"`
}

type explanationStep struct {
	AtMS         int64   `json:"at_ms"`
	What         string  `json:"what"`
	Endpoint     string  `json:"endpoint,omitempty"`
	Reason       string  `json:"reason,omitempty"`
	CostMS       float64 `json:"cost_ms,omitempty"`
	CachedTokens int32   `json:"cached_tokens,omitempty"`
}

// Run asks the given routers, then the router that the id names, until one
// knows the request.
func (c *explainCmd) Run(s *session) error {
	if len(c.Logs) > 0 {
		return c.explainLogs(s)
	}
	if len(s.Routers) == 0 {
		return failf(errUsage, "no router to ask: give --router or a settings file")
	}
	found, err := c.ask(s, s.Routers)
	if found == nil && err == nil {
		if owner := c.owner(s); owner != "" {
			found, err = c.ask(s, []string{owner})
		}
	}
	if err != nil {
		return err
	}
	if found == nil {
		return failf(errNotFound, "no router knows request %s; records are kept for a short time only", c.RequestID)
	}
	s.printExplanation(*found)
	return nil
}

// ask returns the first explanation, nil when some router answered but none
// knows the request, or an error when none answered.
func (c *explainCmd) ask(s *session, routers []string) (*explanation, error) {
	answered, failure := 0, ""
	for len(routers) > 0 {
		n := min(peerCalls, len(routers))
		for _, r := range askAll(s.ctx, routers[:n], c.call) {
			switch {
			case r.err != nil:
				failure = r.address + ": " + status.Convert(r.err).Message()
			case r.value.GetFound():
				return convert(r.address, r.value), nil
			default:
				answered++
			}
		}
		routers = routers[n:]
	}
	if answered == 0 {
		return nil, failf(errUnreachable, "%s", failure)
	}
	return nil, nil
}

func (c *explainCmd) call(ctx context.Context, conn grpc.ClientConnInterface) (*arbutuspb.ExplainResponse, error) {
	return arbutuspb.NewPeerClient(conn).Explain(ctx, &arbutuspb.ExplainRequest{RequestId: c.RequestID})
}

// owner returns the address of the router whose incarnation the request id
// starts with, if a given router knows it.
func (c *explainCmd) owner(s *session) string {
	prefix, _, _ := strings.Cut(c.RequestID, "-")
	incarnation, err := strconv.ParseUint(prefix, 36, 64)
	if err != nil {
		return ""
	}
	for _, r := range askAll(s.ctx, s.Routers[:min(peerCalls, len(s.Routers))], askStatus(true)) {
		for _, m := range r.value.GetMembers() {
			if m.GetIncarnation() == incarnation {
				return m.GetAddress()
			}
		}
	}
	return ""
}

func convert(router string, r *arbutuspb.ExplainResponse) *explanation {
	e := &explanation{RequestID: r.RequestId, Router: router, Team: r.Team, Outcome: r.Outcome}
	for _, step := range r.Steps {
		e.Steps = append(e.Steps, explanationStep{
			AtMS: step.AtMs, What: step.What, Endpoint: step.Endpoint, Reason: step.Reason,
			CostMS: step.CostMs, CachedTokens: step.CachedTokens,
		})
	}
	return e
}

func (s *session) printExplanation(e explanation) {
	if s.json {
		s.printJSON(e)
		return
	}
	fmt.Fprintf(s.stdout, "request %s of team %s, outcome %s, explained by %s\n", e.RequestID, e.Team, e.Outcome, e.Router)
	rows := [][]string{{"MS", "WHAT", "ENDPOINT", "COST MS", "CACHED", "REASON"}}
	for _, step := range e.Steps {
		cost, cached := "", ""
		if step.CostMS > 0 {
			cost = strconv.FormatFloat(step.CostMS, 'f', 1, 64)
		}
		if step.CachedTokens > 0 {
			cached = strconv.Itoa(int(step.CachedTokens))
		}
		rows = append(rows, []string{strconv.FormatInt(step.AtMS, 10), step.What, step.Endpoint, cost, cached, step.Reason})
	}
	s.table(rows)
}

package callerapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/attempt"
	"github.com/arbutusline/arbutusline/modules/dispatch"
	"github.com/arbutusline/arbutusline/rules"
)

func (a *API) handleChatCompletion(c *requestContext) *refusal { return a.handleCompletion(c, true) }
func (a *API) handleTextCompletion(c *requestContext) *refusal { return a.handleCompletion(c, false) }

func (a *API) handleCompletion(c *requestContext, chat bool) *refusal {
	body, refused := a.readBody(c)
	if refused != nil {
		return refused
	}
	p, refused := parseCompletion(body, chat)
	if refused != nil {
		return refused
	}
	completion := p.completion
	req := &dispatch.Request{
		ID: c.requestID, Team: c.team, Kind: rules.KindModel, Target: completion.Model,
		Completion: completion, SharedPrefixBlocks: p.messageEndBlocks, Fingerprint: fingerprint(c.team.Name, body),
	}
	if refused := checkTargetAllowed(c, req, codeUnknownModel); refused != nil {
		return refused
	}
	if refused := requireIdempotencyKey(c, req, "", ""); refused != nil {
		return refused
	}
	out := newCompletionWriter(a, c, completion, p.stream, 0)
	result := a.dispatcher.Do(c.r.Context(), req, out)
	return out.finish(result)
}

// fingerprint identifies equal requests of a team, so that a request that crashes
// engines is recognized when it is repeated.
func fingerprint(team string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(team)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

func checkTargetAllowed(c *requestContext, req *dispatch.Request, unknownTargetCode attempt.Code) *refusal {
	if len(c.rulesView.EndpointsOf(req.Kind, req.Target)) == 0 {
		return newNotRunRefusal(unknownTargetCode, "no rule defines the "+req.Kind.String()+" "+strconv.Quote(req.Target))
	}
	if !c.rulesView.Allowed(c.team.Name, req.Kind, req.Target) {
		return newNotRunRefusal(codeForbiddenEndpoint, "team "+c.team.Name+" may not use the "+req.Kind.String()+" "+strconv.Quote(req.Target))
	}
	return nil
}

// requireIdempotencyKey sets AtMostOnce and IdempotencyKey of a request that may run at
// most once, and refuses the request if it has no valid Idempotency-Key header.
func requireIdempotencyKey(c *requestContext, req *dispatch.Request, method, path string) *refusal {
	if !c.rulesView.AtMostOnce(req.Kind, req.Target, method, path) {
		return nil
	}
	req.AtMostOnce = true
	req.IdempotencyKey = c.r.Header.Get(headerIdempotencyKey)
	if req.IdempotencyKey == "" {
		return newNotRunRefusal(codeIdempotencyKeyRequired, "this work may not be repeated: send an Idempotency-Key header")
	}
	if len(req.IdempotencyKey) > maxIdempotencyKeyBytes {
		return newNotRunRefusal(codeBadRequest, "the Idempotency-Key exceeds 256 bytes")
	}
	return nil
}

func (a *API) handleListModels(c *requestContext) *refusal {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	list := []model{}
	for _, name := range c.rulesView.Models(c.team.Name) {
		list = append(list, model{name, "model"})
	}
	c.writeJSON(http.StatusOK, map[string]any{"object": "list", "data": list})
	return nil
}

func (c *requestContext) writeJSON(status int, v any) {
	text, _ := json.Marshal(v)
	c.w.Header().Set("Content-Type", "application/json")
	c.w.Header().Set(headerRequestID, c.requestID)
	c.w.WriteHeader(status)
	_, _ = c.w.Write(append(text, '\n'))
}

// handleResumeStream continues an interrupted stream. The Last-Event-ID is the id of
// the last event that the caller read, "<endpoint>:<offset>".
func (a *API) handleResumeStream(c *requestContext) *refusal {
	id, endpoint, _ := strings.Cut(c.r.PathValue("id"), "@")
	offset := 0
	if last := c.r.Header.Get(headerLastEventID); last != "" {
		name, number, ok := strings.Cut(last, ":")
		n, err := strconv.Atoi(number)
		if !ok || err != nil || n < 0 {
			return newNotRunRefusal(codeBadRequest, "Last-Event-ID must be the id of an event of this stream")
		}
		endpoint, offset = name, n
	}
	if endpoint == "" {
		return newNotRunRefusal(codeBadRequest, "the request id must name an endpoint, or Last-Event-ID be given")
	}
	c.requestID = id
	var out *completionWriter
	result := a.dispatcher.Resume(c.r.Context(), id, c.team, endpoint, offset,
		func(completion *arbutuspb.Completion) dispatch.TokenSink {
			out = newCompletionWriter(a, c, completion, true, offset)
			return out
		})
	if out == nil {
		return &refusal{code: codeStreamGone, message: "the stream is not running at " + endpoint + " any more", outcome: attempt.OutcomeUnknown}
	}
	return out.finish(result)
}

// handleRequestOutcome returns the outcome that this router recorded for a request, or
// "running" while there is none.
func (a *API) handleRequestOutcome(c *requestContext) *refusal {
	id, _, _ := strings.Cut(c.r.PathValue("id"), "@")
	explanation := a.trace.Explain(id)
	if !explanation.Found || explanation.Team != c.team.Name {
		return newNotRunRefusal(codeRequestNotFound, "this router keeps no record of the request")
	}
	outcome := explanation.Outcome
	if outcome == "" {
		outcome = "running"
	}
	c.writeJSON(http.StatusOK, map[string]string{"request_id": id, "outcome": outcome})
	return nil
}

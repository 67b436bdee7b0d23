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

func (a *API) chat(c *call) *refusal     { return a.completion(c, true) }
func (a *API) complete(c *call) *refusal { return a.completion(c, false) }

func (a *API) completion(c *call, chat bool) *refusal {
	body, ref := a.readBody(c)
	if ref != nil {
		return ref
	}
	p, ref := parseCompletion(body, chat)
	if ref != nil {
		return ref
	}
	completion := p.completion
	req := &dispatch.Request{
		ID: c.id, Team: c.team, Kind: rules.KindModel, Target: completion.Model,
		Completion: completion, SharedPrefixBlocks: p.levels, Fingerprint: fingerprint(c.team.Name, body),
	}
	if ref := checkTarget(c, req, codeUnknownModel); ref != nil {
		return ref
	}
	if ref := checkOnce(c, req, "", ""); ref != nil {
		return ref
	}
	out := newAnswer(a, c, completion, p.stream, 0)
	result := a.dispatcher.Do(c.r.Context(), req, out)
	return out.finish(result)
}

// fingerprint identifies a request for crash suspicion.
func fingerprint(team string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(team)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

func checkTarget(c *call, req *dispatch.Request, unknown attempt.Code) *refusal {
	if len(c.view.EndpointsOf(req.Kind, req.Target)) == 0 {
		return notRun(unknown, "no rule defines the "+req.Kind.String()+" "+strconv.Quote(req.Target))
	}
	if !c.view.Allowed(c.team.Name, req.Kind, req.Target) {
		return notRun(codeForbidden, "team "+c.team.Name+" may not use the "+req.Kind.String()+" "+strconv.Quote(req.Target))
	}
	return nil
}

// checkOnce marks a request that may not be repeated and asks for its key.
func checkOnce(c *call, req *dispatch.Request, method, path string) *refusal {
	if !c.view.AtMostOnce(req.Kind, req.Target, method, path) {
		return nil
	}
	req.AtMostOnce = true
	req.IdempotencyKey = c.r.Header.Get(headerKey)
	if req.IdempotencyKey == "" {
		return notRun(codeKeyRequired, "this work may not be repeated: send an Idempotency-Key header")
	}
	if len(req.IdempotencyKey) > maxKeyBytes {
		return notRun(codeBadRequest, "the Idempotency-Key exceeds 256 bytes")
	}
	return nil
}

func (a *API) models(c *call) *refusal {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	list := []model{}
	for _, name := range c.view.Models(c.team.Name) {
		list = append(list, model{name, "model"})
	}
	c.json(http.StatusOK, map[string]any{"object": "list", "data": list})
	return nil
}

func (c *call) json(status int, v any) {
	text, _ := json.Marshal(v)
	c.w.Header().Set("Content-Type", "application/json")
	c.w.Header().Set(headerRequestID, c.id)
	c.w.WriteHeader(status)
	_, _ = c.w.Write(append(text, '\n'))
}

// resume continues an interrupted stream. The Last-Event-ID is
// "<endpoint>:<offset>", as the id of each event gave it.
func (a *API) resume(c *call) *refusal {
	id, endpoint, _ := strings.Cut(c.r.PathValue("id"), "@")
	offset := 0
	if last := c.r.Header.Get(headerLastEvent); last != "" {
		name, number, ok := strings.Cut(last, ":")
		n, err := strconv.Atoi(number)
		if !ok || err != nil || n < 0 {
			return notRun(codeBadRequest, "Last-Event-ID must be the id of an event of this stream")
		}
		endpoint, offset = name, n
	}
	if endpoint == "" {
		return notRun(codeBadRequest, "the request id must name an endpoint, or Last-Event-ID be given")
	}
	c.id = id
	var out *answer
	result := a.dispatcher.Resume(c.r.Context(), id, c.team, endpoint, offset,
		func(completion *arbutuspb.Completion) dispatch.TokenSink {
			out = newAnswer(a, c, completion, true, offset)
			return out
		})
	if out == nil {
		return &refusal{code: codeStreamGone, message: "the stream is not running at " + endpoint + " any more", outcome: attempt.OutcomeUnknown}
	}
	return out.finish(result)
}

// outcome tells what this router knows about a request.
func (a *API) outcome(c *call) *refusal {
	id, _, _ := strings.Cut(c.r.PathValue("id"), "@")
	known := a.trace.Explain(id)
	if !known.Found || known.Team != c.team.Name {
		return notRun(codeRequestNotFound, "this router keeps no record of the request")
	}
	outcome := known.Outcome
	if outcome == "" {
		outcome = "running"
	}
	c.json(http.StatusOK, map[string]string{"request_id": id, "outcome": outcome})
	return nil
}

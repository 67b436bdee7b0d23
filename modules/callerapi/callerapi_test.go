package callerapi

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/attempt"
	"github.com/arbutusline/arbutusline/modules/dispatch"
	"github.com/arbutusline/arbutusline/rules"
	"github.com/arbutusline/arbutusline/settings"
)

const testToken = "secret"

func testRulesView(t testing.TB) *rules.View {
	sum := sha256.Sum256([]byte(testToken))
	other := sha256.Sum256([]byte("other"))
	view, err := rules.Compile("test", 1, strings.Join([]string{
		"team audit token-sha256 " + hex.EncodeToString(sum[:]) + " # anitha: test",
		"team field token-sha256 " + hex.EncodeToString(other[:]) + " # anitha: test",
		"endpoint llm-01 model ledger-llm host h-01 zone kochi-a # anitha: test",
		"service records-app endpoint rec-01 host h-02 zone kochi-a # anitha: test",
		"allow audit model ledger-llm # anitha: test",
		"allow audit service records-app # anitha: test",
		"once service records-app POST /recovery # anitha: test",
	}, "\n"))
	assert.NilError(t, err)
	return view
}

type fakeRules struct{ view *rules.View }

func (f fakeRules) Current() *rules.View          { return f.view }
func (f fakeRules) Subscribe(func(*rules.View))   {}
func (f fakeRules) ObserveVersion(uint64, string) {}

// fakeDispatcher records requests, delivers fixed tokens and returns a fixed result.
type fakeDispatcher struct {
	requests []*dispatch.Request
	tokens   []string
	result   dispatch.Result
}

func (s *fakeDispatcher) NewRequestID() string { return "run-" + strconv.Itoa(len(s.requests)) }

func (s *fakeDispatcher) Do(_ context.Context, req *dispatch.Request, sink dispatch.TokenSink) dispatch.Result {
	s.requests = append(s.requests, req)
	for i, token := range s.tokens {
		if err := sink.WriteTokens("llm-01", i, []string{token}); err != nil {
			return dispatch.Result{Finish: attempt.Finish{Outcome: attempt.OutcomeUnknown}}
		}
	}
	return s.result
}

func (s *fakeDispatcher) Resume(context.Context, string, *rules.Team, string, int, func(*arbutuspb.Completion) dispatch.TokenSink) dispatch.Result {
	return s.result
}

func (s *fakeDispatcher) Explain(id string) *arbutuspb.ExplainResponse {
	return &arbutuspb.ExplainResponse{Found: id == "known", Team: "audit", Outcome: "done"}
}

func completedResult() dispatch.Result {
	return dispatch.Result{
		Finish:   attempt.Finish{Outcome: attempt.OutcomeDone},
		Done:     &arbutuspb.Done{FinishReason: "stop", Usage: &arbutuspb.Usage{PromptTokens: 3, CompletionTokens: 2}},
		Endpoint: "llm-01",
	}
}

func newTestAPI(t testing.TB, dispatcher *fakeDispatcher) *API {
	log := logrus.New()
	log.SetOutput(io.Discard)
	k := arbutusline.New(settings.File{}, logrus.NewEntry(log))
	return &API{
		MaxBodyBytes: 1 << 16, MaxHeaderBytes: 1 << 14, WriteStallTimeout: settings.Duration(1e9),
		log: k.Log, dispatcher: dispatcher, trace: dispatcher, rules: fakeRules{testRulesView(t)}, refusalCounter: newRefusalCounter(),
	}
}

func post(api *API, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+testToken)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	api.Handler().ServeHTTP(w, r)
	return w
}

// Guards against invalid requests that are forwarded to an endpoint, and against
// refusals without the right status, code and outcome.
func TestBadInputIsRefusedAndNotForwarded(t *testing.T) {
	deep := strings.Repeat(`{"a":`, 40) + "1" + strings.Repeat("}", 40)
	cases := []struct {
		name, path, body string
		headers          []string
		status           int
		code             attempt.Code
	}{
		{"no token", "/v1/completions", `{}`, []string{"Authorization", ""}, 401, codeUnauthorized},
		{"wrong token", "/v1/completions", `{}`, []string{"Authorization", "Bearer x"}, 401, codeUnauthorized},
		{"not JSON", "/v1/completions", `{"model":`, nil, 400, codeBadRequest},
		{"deep JSON", "/v1/completions", deep, nil, 400, codeBadRequest},
		{"huge body", "/v1/completions", strings.Repeat("x", 1<<17), nil, 413, codeBodyTooLarge},
		{"no prompt", "/v1/completions", `{"model":"ledger-llm"}`, nil, 400, codeBadRequest},
		{"no messages", "/v1/chat/completions", `{"model":"ledger-llm","messages":[]}`, nil, 400, codeBadRequest},
		{"image part", "/v1/chat/completions", `{"model":"ledger-llm","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, nil, 400, codeBadRequest},
		{"two answers", "/v1/completions", `{"model":"ledger-llm","prompt":"a","n":2}`, nil, 400, codeBadRequest},
		{"negative length", "/v1/completions", `{"model":"ledger-llm","prompt":"a","max_tokens":-1}`, nil, 400, codeBadRequest},
		{"unknown model", "/v1/completions", `{"model":"nope","prompt":"a"}`, nil, 404, codeUnknownModel},
		{"other team", "/v1/completions", `{"model":"ledger-llm","prompt":"a"}`, []string{"Authorization", "Bearer other"}, 403, codeForbiddenEndpoint},
		{"unknown path", "/v2/completions", `{}`, nil, 404, codeUnknownPath},
		{"unknown service", "/services/nope/x", `{}`, nil, 404, codeUnknownService},
		{"no key", "/services/records-app/recovery", `{}`, nil, 400, codeIdempotencyKeyRequired},
		{"hidden path", "/services/records-app/a/%2e%2e%2frecovery", `{}`, nil, 400, codeBadRequest},
		{"long key", "/services/records-app/recovery", `{}`, []string{headerIdempotencyKey, strings.Repeat("k", 300)}, 400, codeBadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			dispatcher := &fakeDispatcher{result: completedResult()}
			w := post(newTestAPI(t, dispatcher), c.path, c.body, c.headers...)
			assert.Equal(t, w.Code, c.status)
			var body errorBody
			assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &body))
			assert.Equal(t, body.Error.Code, c.code)
			assert.Equal(t, body.Error.Outcome, attempt.OutcomeNotRun)
			assert.Assert(t, body.Error.RequestID != "" && body.Error.Message != "")
			assert.Equal(t, len(dispatcher.requests), 0)
		})
	}
}

// Guards against a server without limits: requests with large headers or with bodies
// that never end would reach a handler or occupy a connection.
func TestServerBoundsHeadersAndReadTime(t *testing.T) {
	dispatcher := &fakeDispatcher{result: completedResult()}
	api := newTestAPI(t, dispatcher)
	api.MaxHeaderBytes, api.ReadTimeout = 1<<12, settings.Duration(50*time.Millisecond)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	api.serve(listener)
	defer func() { _ = api.server.Close() }()
	url := "http://" + listener.Addr().String() + "/v1/completions"

	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(`{"model":"ledger-llm","prompt":"a"}`))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+testToken)
	req.Header.Set("X-Large", strings.Repeat("x", 1<<16))
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)

	endlessBody, bodyWriter := io.Pipe()
	defer func() { _ = bodyWriter.Close() }()
	req, err = http.NewRequest(http.MethodPost, url, endlessBody)
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+testToken)
	resp, err = http.DefaultClient.Do(req)
	if err == nil {
		_ = resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
	}
	assert.Equal(t, len(dispatcher.requests), 0)
}

// Guards against the outcome "not run" for a request with an Idempotency-Key that the
// router refused before it read the ledger: an earlier request with the same key may
// have run.
func TestEarlyRefusalWithKeyHasUnknownOutcome(t *testing.T) {
	dispatcher := &fakeDispatcher{result: completedResult()}
	api := newTestAPI(t, dispatcher)
	api.shuttingDown.Store(true)
	outcomeOf := func(headers ...string) attempt.Outcome {
		var body errorBody
		w := post(api, "/services/records-app/recovery", `{}`, headers...)
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &body))
		assert.Equal(t, body.Error.Code, codeShuttingDown)
		return body.Error.Outcome
	}
	assert.Equal(t, outcomeOf(), attempt.OutcomeNotRun)
	assert.Equal(t, outcomeOf(headerIdempotencyKey, "k-1"), attempt.OutcomeUnknown)
}

// Guards against a stream that looks complete although its request failed after the
// first tokens.
func TestInterruptedStreamHasNoEndMarker(t *testing.T) {
	dispatcher := &fakeDispatcher{tokens: []string{"a", "b"}, result: dispatch.Result{
		Finish: attempt.Finish{Outcome: attempt.OutcomeUnknown, Code: attempt.CodeUpstreamFailed, Reason: "endpoint_broke"},
	}}
	w := post(newTestAPI(t, dispatcher), "/v1/completions", `{"model":"ledger-llm","prompt":"a","stream":true}`)
	assert.Equal(t, w.Code, 200)
	assert.Assert(t, strings.Contains(w.Body.String(), "id: llm-01:2\n"))
	assert.Assert(t, strings.Contains(w.Body.String(), "event: error\n"))
	assert.Assert(t, !strings.Contains(w.Body.String(), "[DONE]"))
}

// Guards against responses that OpenAI client libraries cannot read, streamed or not.
func TestJSONAndStreamedResponses(t *testing.T) {
	dispatcher := &fakeDispatcher{tokens: []string{"a", "b"}, result: completedResult()}
	api := newTestAPI(t, dispatcher)
	var whole completionResponse
	w := post(api, "/v1/chat/completions", `{"model":"ledger-llm","messages":[{"role":"user","content":"x"}]}`)
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &whole))
	assert.Equal(t, whole.Choices[0].Message.Content, "ab")
	assert.Equal(t, whole.Usage.TotalTokens, int32(5))
	assert.Equal(t, w.Header().Get(headerRequestID), "run-0@llm-01")

	w = post(api, "/v1/chat/completions", `{"model":"ledger-llm","messages":[{"role":"user","content":"x"}],"stream":true}`)
	assert.Equal(t, strings.Count(w.Body.String(), "chat.completion.chunk"), 3)
	assert.Assert(t, strings.HasSuffix(w.Body.String(), "data: [DONE]\n\n"))
}

// Guards against a service call that may run at most once but reaches the dispatcher
// without its Idempotency-Key.
func TestAtMostOnceCallCarriesItsKey(t *testing.T) {
	dispatcher := &fakeDispatcher{result: completedResult()}
	post(newTestAPI(t, dispatcher), "/services/records-app/recovery/7?x=1", `{"kg":3}`, headerIdempotencyKey, "k-1")
	assert.Equal(t, len(dispatcher.requests), 1)
	assert.Equal(t, dispatcher.requests[0].AtMostOnce, true)
	assert.Equal(t, dispatcher.requests[0].IdempotencyKey, "k-1")
	assert.Equal(t, dispatcher.requests[0].ServiceCall.Path, "/recovery/7?x=1")
}

// Guards against panics of the parser and against invalid requests that it accepts.
func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"p"}`), false)
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}`), true)
	f.Add([]byte(`[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[`), true)
	f.Add([]byte(`{"model":":","prompt":"\ud800","max_tokens":1e99}`), false)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		p, refused := parseCompletion(body, chat)
		if (p == nil) == (refused == nil) {
			t.Fatalf("got request %v and refusal %v, expected one of them", p, refused)
		}
		if refused != nil && refused.outcome != attempt.OutcomeNotRun {
			t.Fatalf("refusal has outcome %q", refused.outcome)
		}
		if p == nil {
			return
		}
		if c := p.completion; c.Model == "" || c.MaxTokens < 1 || c.MaxTokens > maxAllowedTokens || jsonDepth(body) > maxJSONDepth {
			t.Fatalf("invalid body %q was accepted", body)
		}
	})
}

// statusesOfRefusals tell callers that a request did not run and never will.
var statusesOfRefusals = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true, http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// Guards against a plain service's own 503 after a run that reaches the caller as a promise
// that the call has not run.
func TestRefusalStatusOfAServiceIsNotForwarded(t *testing.T) {
	for status := range statusesOfRefusals {
		dispatcher := &fakeDispatcher{result: dispatch.Result{
			Finish: attempt.Finish{Outcome: attempt.OutcomeDone}, Endpoint: "rec-01",
			Done: &arbutuspb.Done{ServiceAnswer: &arbutuspb.ServiceAnswer{Status: int32(status), Body: []byte("busy")}},
		}}
		w := post(newTestAPI(t, dispatcher), "/services/records-app/recovery", `{}`, headerIdempotencyKey, "k-1")
		var body errorBody
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &body))
		assert.Equal(t, w.Code, http.StatusBadGateway)
		assert.Equal(t, body.Error.Outcome, attempt.OutcomeUnknown)
	}
}

// Guards against a status that promises "not run" beside the outcome "unknown", for each code.
func TestUnknownOutcomeHasNoStatusOfARefusal(t *testing.T) {
	for code := range statusByCode {
		for _, request := range [][]string{
			{"/services/records-app/recovery", headerIdempotencyKey, "k-1"}, {"/v1/completions"},
		} {
			dispatcher := &fakeDispatcher{result: dispatch.Result{Finish: attempt.Finish{Outcome: attempt.OutcomeUnknown, Code: code}}}
			w := post(newTestAPI(t, dispatcher), request[0], `{"model":"ledger-llm","prompt":"a"}`, request[1:]...)
			assert.Assert(t, !statusesOfRefusals[w.Code], "%s: %d", code, w.Code)
		}
	}
	api := newTestAPI(t, &fakeDispatcher{result: completedResult()})
	api.shuttingDown.Store(true)
	w := post(api, "/services/records-app/recovery", `{}`, headerIdempotencyKey, "k-1")
	assert.Equal(t, w.Code, http.StatusBadGateway)
	assert.Equal(t, w.Header().Get("Retry-After"), "1")
}

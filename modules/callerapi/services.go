package callerapi

import (
	"net/http"
	"net/url"
	"path"
	"strconv"
	"strings"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/attempt"
	"github.com/arbutusline/arbutusline/internal/httpstatus"
	"github.com/arbutusline/arbutusline/modules/dispatch"
	"github.com/arbutusline/arbutusline/rules"
)

// forwardedHeaders are the request headers that are passed to a plain service.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", headerIdempotencyKey}

// discardSink is the sink of a call to a plain service, which produces no tokens.
type discardSink struct{}

func (discardSink) WriteTokens(string, int, []string) error { return nil }

func (a *API) handleServiceCall(c *requestContext) *refusal {
	name := c.r.PathValue("name")
	servicePath := "/" + c.r.PathValue("path")
	if !isCanonicalPath(servicePath) {
		return newNotRunRefusal(codeBadRequest, "the path must not have empty or dot segments")
	}
	body, refused := a.readBody(c)
	if refused != nil {
		return refused
	}
	req := &dispatch.Request{
		ID: c.requestID, Team: c.team, Kind: rules.KindService, Target: name,
		ServiceCall: newServiceCall(c, servicePath, body),
		Fingerprint: fingerprint(c.team.Name, append([]byte(c.r.Method+" "+servicePath+"\n"), body...)),
	}
	if refused := checkTargetAllowed(c, req, codeUnknownService); refused != nil {
		return refused
	}
	if refused := requireIdempotencyKey(c, req, c.r.Method, servicePath); refused != nil {
		return refused
	}
	result := a.dispatcher.Do(c.r.Context(), req, discardSink{})
	if result.Outcome != attempt.OutcomeDone {
		return refusalFromFinish(result.Finish)
	}
	if status := int(result.Done.GetServiceAnswer().GetStatus()); httpstatus.PromisesNotRun(status) {
		return &refusal{
			code: attempt.CodeUpstreamFailed, outcome: attempt.OutcomeUnknown,
			message: "the service answered with status " + strconv.Itoa(status) + "; the call may have run",
		}
	}
	writeServiceAnswer(c, result)
	return nil
}

// isCanonicalPath reports whether a path has no empty or dot segments. A path in
// another form could evade a rule that makes its requests run at most once.
func isCanonicalPath(p string) bool {
	return path.Clean(p) == strings.TrimSuffix(p, "/") || p == "/"
}

func newServiceCall(c *requestContext, servicePath string, body []byte) *arbutuspb.ServiceCall {
	target := (&url.URL{Path: servicePath}).EscapedPath()
	if c.r.URL.RawQuery != "" {
		target += "?" + c.r.URL.RawQuery
	}
	headers := map[string]string{headerRequestID: c.requestID, "X-Team": c.team.Name}
	for _, name := range forwardedHeaders {
		if v := c.r.Header.Get(name); v != "" {
			headers[name] = v
		}
	}
	return &arbutuspb.ServiceCall{Method: c.r.Method, Path: target, Headers: headers, Body: body}
}

func writeServiceAnswer(c *requestContext, result dispatch.Result) {
	answer := result.Done.GetServiceAnswer()
	for name, value := range answer.GetHeaders() {
		c.w.Header().Set(name, value)
	}
	c.w.Header().Set(headerRequestID, c.requestID+"@"+result.Endpoint)
	status := int(answer.GetStatus())
	if status < http.StatusOK || status > 599 {
		status = http.StatusBadGateway
	}
	c.w.WriteHeader(status)
	_, _ = c.w.Write(answer.GetBody())
}

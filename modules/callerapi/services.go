package callerapi

import (
	"net/http"
	"net/url"
	"path"
	"strings"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/attempt"
	"github.com/arbutusline/arbutusline/modules/dispatch"
	"github.com/arbutusline/arbutusline/rules"
)

// forwardedHeaders are the request headers that a plain service is given.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", headerKey}

// noTokens is the sink of a plain service call, which has no tokens.
type noTokens struct{}

func (noTokens) WriteTokens(string, int, []string) error { return nil }

func (a *API) service(c *call) *refusal {
	name := c.r.PathValue("name")
	plain := "/" + c.r.PathValue("path")
	if !isClean(plain) {
		return notRun(codeBadRequest, "the path must not have empty or dot segments")
	}
	body, ref := a.readBody(c)
	if ref != nil {
		return ref
	}
	req := &dispatch.Request{
		ID: c.id, Team: c.team, Kind: rules.KindService, Target: name,
		ServiceCall: serviceCall(c, plain, body),
		Fingerprint: fingerprint(c.team.Name, append([]byte(c.r.Method+" "+plain+"\n"), body...)),
	}
	if ref := checkTarget(c, req, codeUnknownService); ref != nil {
		return ref
	}
	if ref := checkOnce(c, req, c.r.Method, plain); ref != nil {
		return ref
	}
	result := a.dispatcher.Do(c.r.Context(), req, noTokens{})
	if result.Outcome != attempt.OutcomeDone {
		return refusalOf(result.Finish)
	}
	writeServiceAnswer(c, result)
	return nil
}

// isClean reports whether a path has only one reading, so that it can't slip
// past a rule about work that may not be repeated.
func isClean(p string) bool {
	return path.Clean(p) == strings.TrimSuffix(p, "/") || p == "/"
}

func serviceCall(c *call, plain string, body []byte) *arbutuspb.ServiceCall {
	target := (&url.URL{Path: plain}).EscapedPath()
	if c.r.URL.RawQuery != "" {
		target += "?" + c.r.URL.RawQuery
	}
	headers := map[string]string{headerRequestID: c.id, "X-Team": c.team.Name}
	for _, name := range forwardedHeaders {
		if v := c.r.Header.Get(name); v != "" {
			headers[name] = v
		}
	}
	return &arbutuspb.ServiceCall{Method: c.r.Method, Path: target, Headers: headers, Body: body}
}

func writeServiceAnswer(c *call, result dispatch.Result) {
	answer := result.Done.GetServiceAnswer()
	for name, value := range answer.GetHeaders() {
		c.w.Header().Set(name, value)
	}
	c.w.Header().Set(headerRequestID, c.id+"@"+result.Endpoint)
	status := int(answer.GetStatus())
	if status < http.StatusOK || status > 599 {
		status = http.StatusBadGateway
	}
	c.w.WriteHeader(status)
	_, _ = c.w.Write(answer.GetBody())
}

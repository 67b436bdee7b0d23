package httpcheck

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/cockroachdb/errors"
)

// ErrNoResponse means that what arrived is no response, although it has the form of one.
var ErrNoResponse = errors.New("not an HTTP response")

// maxStatus is the highest status that HTTP defines a class for.
const maxStatus = 599

// CheckFinal returns an error that matches ErrNoResponse unless the response is one of HTTP/1 with
// the status of a final response, from 200 to 599.
func CheckFinal(r *http.Response) error {
	if r.StatusCode < http.StatusOK || r.StatusCode > maxStatus || r.ProtoMajor != 1 {
		return errors.Wrapf(ErrNoResponse, "%s, status %03d", r.Proto, r.StatusCode)
	}
	return nil
}

// IsInterim reports whether the status is that of an informational response, which another response
// follows. A switch of protocols, which nobody asked for, is none.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// CheckInterim returns an error that matches ErrNoResponse if an informational response with the
// header announces the length of a body. Such a response has no body, and the bytes of one would be
// read as the next response. Those of a body in chunks are none.
func CheckInterim(status int, h http.Header) error {
	if h.Get("Content-Length") != "" {
		return errors.Wrapf(ErrNoResponse, "status %03d with a body", status)
	}
	return nil
}

// NewClient returns a client with the checks of Transport that follows no redirect: that would send
// the request a second time, and return the response to another one.
func NewClient(base *http.Transport) *http.Client {
	return &http.Client{
		Transport:     &Transport{Base: base},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Transport is an http.RoundTripper that fails with ErrNoResponse for what CheckFinal and
// CheckInterim refuse.
type Transport struct{ Base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{Got1xxResponse: func(status int, h textproto.MIMEHeader) error {
		return CheckInterim(status, http.Header(h))
	}}
	response, err := t.Base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckFinal(response); err != nil {
		return nil, errors.CombineErrors(err, response.Body.Close())
	}
	return response, nil
}

// CloseIdleConnections lets http.Client.CloseIdleConnections reach the base.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

package objectstore

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/objectstore"
)

// ErrUnexpectedResponse means that the server sent a status or body that the object API
// does not define. Writes also report ErrAmbiguous for such a response, unless its
// status is 4xx, which says that the request was rejected.
var ErrUnexpectedResponse = errors.New("object API gave an undefined answer")

// ErrInvalidKey means that a key cannot be represented as a URL path.
var ErrInvalidKey = errors.New("object key has an empty, \".\" or \"..\" segment")

// maxResponseBytes bounds the body of any response other than that of a get; 64 MiB
// hold a list or watch of about half a million entries.
const maxResponseBytes = 64 << 20

// preferredAddress is the index of the address that the next call tries first.
type preferredAddress struct{ index atomic.Uint32 }

// call describes one request to the object API.
type call struct {
	operation       string // value of the metric label "call"
	method          string
	path            string
	query           url.Values
	body            []byte
	expectedVersion *uint64 // sent as If-Version if not nil
	isWrite         bool
	timeout         time.Duration
	bodyLimit       int64 // maximum size of the response body in bytes
}

// response is a completely read response of the object API.
type response struct {
	status     int
	version    uint64
	hasVersion bool
	body       []byte
}

// sendWithFailover sends a call to the preferred address. It fails over to the next
// address only when a connection could not be opened: nothing was sent then, so that
// even a write cannot be executed twice.
func (client *Client) sendWithFailover(ctx context.Context, c call) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	first := client.preferred.index.Load()
	var err error
	for i := range client.baseURLs {
		index := (int(first) + i) % len(client.baseURLs)
		var resp response
		var sent bool
		resp, sent, err = client.roundTrip(ctx, client.baseURLs[index], c)
		if err == nil && resp.status != http.StatusServiceUnavailable {
			return resp, nil
		}
		// Later calls start at the next address. Concurrent failures advance the
		// preference only once.
		client.preferred.index.CompareAndSwap(first, uint32((index+1)%len(client.baseURLs)))
		if err == nil {
			return resp, nil
		}
		if sent && c.isWrite {
			return response{}, joinErrors(objectstore.ErrAmbiguous, err)
		}
		if sent || ctx.Err() != nil {
			break
		}
	}
	return response{}, joinErrors(objectstore.ErrUnavailable, err)
}

// roundTrip sends one request and reads the whole response. sent reports whether a
// connection was open, so that the server may have received the request.
func (client *Client) roundTrip(ctx context.Context, base *url.URL, c call) (resp response, sent bool, err error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }}
	req, err := client.newRequest(httptrace.WithClientTrace(ctx, trace), base, c)
	if err != nil {
		return resp, false, err
	}
	httpResp, err := client.httpClient.Do(req)
	if err != nil {
		return resp, sent, errors.Wrapf(err, "%s", c.operation)
	}
	defer httpResp.Body.Close()
	if httpResp.ContentLength < 0 && len(httpResp.TransferEncoding) == 0 {
		return resp, true, errors.Wrapf(ErrUnexpectedResponse, "%s: answer has no length, so that its end does not show that it is whole", c.operation)
	}
	resp.status = httpResp.StatusCode
	resp.version, err = strconv.ParseUint(httpResp.Header.Get("Object-Version"), 10, 64)
	resp.hasVersion = err == nil
	resp.body, err = io.ReadAll(io.LimitReader(httpResp.Body, c.bodyLimit+1))
	if err != nil {
		return resp, true, errors.Wrapf(err, "%s: read the answer", c.operation)
	}
	if int64(len(resp.body)) > c.bodyLimit {
		return resp, true, errors.Wrapf(ErrUnexpectedResponse, "%s: answer exceeds %d bytes", c.operation, c.bodyLimit)
	}
	return resp, true, nil
}

func (client *Client) newRequest(ctx context.Context, base *url.URL, c call) (*http.Request, error) {
	u := base.JoinPath(c.path)
	u.RawQuery = c.query.Encode()
	// net/http retries a PUT or DELETE only when no byte of it was written to the
	// connection.
	req, err := http.NewRequestWithContext(ctx, c.method, u.String(), bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	if c.expectedVersion != nil {
		req.Header.Set("If-Version", strconv.FormatUint(*c.expectedVersion, 10))
	}
	return req, nil
}

// joinErrors returns an error that wraps both class and err. errors.Mark would not do:
// errors.Is of the standard library ignores such marks.
func joinErrors(class, err error) error { return fmt.Errorf("%w: %w", class, err) }

// statusError translates the status of a response into an objectstore error.
func statusError(c call, status int) error {
	switch {
	case status == http.StatusOK:
		return nil
	case status == http.StatusNotFound && c.method == http.MethodPut:
		// The object that the write expects no longer exists.
		return objectstore.ErrConflict
	case status == http.StatusNotFound:
		return objectstore.ErrNotFound
	case status == http.StatusConflict:
		return objectstore.ErrConflict
	case status == http.StatusGone:
		return objectstore.ErrCompacted
	case status == http.StatusRequestEntityTooLarge:
		return objectstore.ErrTooLarge
	case status == http.StatusTooManyRequests:
		return objectstore.ErrRateLimited
	case status == http.StatusServiceUnavailable:
		return objectstore.ErrUnavailable
	}
	err := errors.Wrapf(ErrUnexpectedResponse, "status %d", status)
	switch {
	case status >= 400 && status < 500:
		return err
	case c.isWrite:
		return joinErrors(objectstore.ErrAmbiguous, err)
	}
	return joinErrors(objectstore.ErrUnavailable, err)
}

// objectPath returns the URL path of a key. It rejects keys with segments that servers
// normalize, such as "..".
func objectPath(key string) (string, error) {
	segments := strings.Split(key, "/")
	for i, s := range segments {
		if s == "" || s == "." || s == ".." {
			return "", errors.Wrapf(ErrInvalidKey, "key %q", key)
		}
		segments[i] = url.PathEscape(s)
	}
	return "/v1/objects/" + strings.Join(segments, "/"), nil
}

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

// ErrUnexpectedResponse means that the server answered with a status or body that the
// object API does not define. Writes report such answers as ErrAmbiguous,
// unless the status says that the request was refused (4xx).
var ErrUnexpectedResponse = errors.New("object API gave an undefined answer")

// ErrInvalidKey means that a key cannot be written as a URL path.
var ErrInvalidKey = errors.New("key cannot be sent to the object store")

// maxResponseBytes bounds the body of a list or watch; 64 MiB hold about half a
// million entries.
const maxResponseBytes = 64 << 20

// preferredAddress is the position of the address that the next call uses first.
type preferredAddress struct{ index atomic.Uint32 }

// call describes one request to the object API.
type call struct {
	operation       string // label of the metrics
	method          string
	path            string
	query           url.Values
	body            []byte
	expectedVersion *uint64 // If-Version
	isWrite         bool
	timeout         time.Duration
	bodyLimit       int64 // largest accepted body of the answer, in bytes
}

// response is a response whose body was read completely.
type response struct {
	status     int
	version    uint64
	hasVersion bool
	body       []byte
}

// sendWithFailover runs a call on the preferred address. Only a connection that could not be
// opened moves a call on to the next address: then nothing was sent, so that
// also a write can be tried elsewhere without being repeated.
func (client *Client) sendWithFailover(ctx context.Context, c call) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	first := client.preferred.index.Load()
	var err error
	for i := range client.baseURLs {
		index := (int(first) + i) % len(client.baseURLs)
		var got response
		var sent bool
		got, sent, err = client.roundTrip(ctx, client.baseURLs[index], c)
		if err == nil && got.status != http.StatusServiceUnavailable {
			return got, nil
		}
		// Later calls start at the next address; concurrent failures move
		// the preference only once.
		client.preferred.index.CompareAndSwap(first, uint32((index+1)%len(client.baseURLs)))
		if err == nil {
			return got, nil
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

// roundTrip sends one request and reads the whole answer. sent reports whether
// a connection was open, so that the server may have seen the request.
func (client *Client) roundTrip(ctx context.Context, base *url.URL, c call) (a response, sent bool, err error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }}
	req, err := client.newRequest(httptrace.WithClientTrace(ctx, trace), base, c)
	if err != nil {
		return a, false, err
	}
	res, err := client.httpClient.Do(req)
	if err != nil {
		return a, sent, errors.Wrapf(err, "%s", c.operation)
	}
	defer res.Body.Close()
	a.status = res.StatusCode
	a.version, err = strconv.ParseUint(res.Header.Get("Object-Version"), 10, 64)
	a.hasVersion = err == nil
	a.body, err = io.ReadAll(io.LimitReader(res.Body, c.bodyLimit+1))
	if err != nil {
		return a, true, errors.Wrapf(err, "%s: read the answer", c.operation)
	}
	if int64(len(a.body)) > c.bodyLimit {
		return a, true, errors.Wrapf(ErrUnexpectedResponse, "%s: answer exceeds %d bytes", c.operation, c.bodyLimit)
	}
	return a, true, nil
}

func (client *Client) newRequest(ctx context.Context, base *url.URL, c call) (*http.Request, error) {
	u := base.JoinPath(c.path)
	u.RawQuery = c.query.Encode()
	// net/http repeats a PUT or DELETE on its own only when no byte of it was
	// written to the connection.
	req, err := http.NewRequestWithContext(ctx, c.method, u.String(), bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	if c.expectedVersion != nil {
		req.Header.Set("If-Version", strconv.FormatUint(*c.expectedVersion, 10))
	}
	return req, nil
}

// joinErrors returns an error that is class and err at once, also for the standard
// library's errors.Is, which does not see marks.
func joinErrors(class, err error) error { return fmt.Errorf("%w: %w", class, err) }

// statusError translates the status of an answer into an error of the store.
func statusError(c call, status int) error {
	switch {
	case status == http.StatusOK:
		return nil
	case status == http.StatusNotFound && c.method == http.MethodPut:
		// The object was expected but is gone.
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

// objectPath returns the URL path of a key. Segments that servers rewrite, such
// as "..", are refused.
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

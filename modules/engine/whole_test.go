package engine

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/standin/rawhttp"
)

// startRaw returns the engine of an endpoint that answers with bytes of its own.
func startRaw(t *testing.T, serve func(*net.TCPConn, *http.Request)) *Engine {
	e := &Engine{URL: "http://" + rawhttp.Start(t, serve)}
	e.createClients(nil)
	return e
}

// Guards against an agent that takes a part of an answer without a length for the whole one: the
// service answers early and resets the connection while the request is written.
func TestResetDuringTheUploadDoesNotEndAnAnswer(t *testing.T) {
	e := startRaw(t, func(conn *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nabcd")
		time.Sleep(20 * time.Millisecond) // A reset that overtakes the head is an error in any case.
		_ = conn.SetLinger(0)
	})
	body := make([]byte, 8<<20)
	for range 40 {
		answer, err := e.CallService(t.Context(), ServiceCall{Method: http.MethodPost, Path: "/x", Body: body})
		assert.Assert(t, errors.Is(err, ErrConnectionBroken), "%+v %v", answer, err)
	}
}

// Guards against a completion that counts as complete although the connection was reset before the
// end marker, while the request is written.
func TestResetDuringTheUploadDoesNotEndACompletion(t *testing.T) {
	e := startRaw(t, func(conn *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\ndata: {\"index\":0,\"text\":\"a\"}\n\ndata: {\"done\":true}\n\n")
		time.Sleep(20 * time.Millisecond)
		_ = conn.SetLinger(0)
	})
	prompt := string(make([]byte, 1<<20))
	for range 10 {
		_, err := e.Complete(t.Context(), CompletionRequest{Prompt: prompt}, func(int, string) error { return nil })
		assert.Assert(t, errors.Is(err, ErrConnectionBroken), "%v", err)
	}
}

// Guards against an agent that passes on a status that is no response, or takes it for a rejection,
// after which the request is sent to another endpoint.
func TestImpossibleStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		e := startRaw(t, func(conn *net.TCPConn, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s X\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", status, headerNotRun)
		})
		answer, err := e.CallService(t.Context(), ServiceCall{Method: http.MethodPost, Path: "/x"})
		assert.Assert(t, errors.Is(err, ErrConnectionBroken), "%s: %+v %v", status, answer, err)
		_, err = e.Complete(t.Context(), CompletionRequest{}, func(int, string) error { return nil })
		assert.Assert(t, errors.Is(err, ErrConnectionBroken) && !errors.Is(err, ErrRejected), "%s: %v", status, err)
	}
}

// Guards against reading the body of an informational response as the answer.
func TestBodyOfAnInformationalResponseIsNoAnswer(t *testing.T) {
	e := startRaw(t, func(conn *net.TCPConn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\nContent-Length: 40\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
	})
	answer, err := e.CallService(t.Context(), ServiceCall{Method: http.MethodPost, Path: "/x"})
	assert.Assert(t, errors.Is(err, ErrConnectionBroken), "%+v %v", answer, err)
}

// Guards against taking a late copy of the response to one poll for the response to another: an
// engine would count as restarted, idle or empty.
func TestResponsesToPollsAreToldApart(t *testing.T) {
	bodies := map[string]string{
		"info":   `{"incarnation":7,"model":"m","weights_version":"1"}`,
		"load":   `{"running":0,"waiting":0,"queued_tokens":0,"free_blocks":9,"at_ms":5,"incarnation":7}`,
		"events": `{"incarnation":7,"next":3,"events":null}`,
		"blocks": `{"incarnation":7,"next":3,"blocks":[]}`,
	}
	fields := map[string][]string{"info": infoFields, "load": loadFields, "events": cacheEventFields, "blocks": cacheSnapshotFields}
	for sent, body := range bodies {
		e := startRaw(t, func(conn *net.TCPConn, _ *http.Request) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		})
		for asked := range bodies {
			var dst map[string]any
			err := e.getJSON(t.Context(), "/", &dst, fields[asked]...)
			assert.Equal(t, err == nil, sent == asked, "%s for %s: %v", sent, asked, err)
		}
	}
}

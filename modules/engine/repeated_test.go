package engine

import (
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/standin/repeating"
)

// newEngineOf returns the engine of an endpoint that repeats its refusal.
func newEngineOf(t *testing.T, body string) *Engine {
	endpoint, err := repeating.Start(headerNotRun, body)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = endpoint.Close() })
	e := &Engine{URL: "http://" + endpoint.Address()}
	e.createClients(nil)
	return e
}

// Guards against taking the copy of a rejection for the response to the next completion, which
// runs, counts as not run and would be sent to another engine, too.
func TestEarlierRejectionIsNotTheResponseToACompletion(t *testing.T) {
	e := newEngineOf(t, "data: {\"done\":true}\n\ndata: [DONE]\n\n")
	complete := func() error {
		_, err := e.Complete(t.Context(), CompletionRequest{}, func(int, string) error { return nil })
		return err
	}
	assert.Assert(t, errors.Is(complete(), ErrRejected))
	for range 3 {
		assert.NilError(t, complete())
	}
}

// Guards against answering a call of a plain service with the copy of an earlier response.
func TestEarlierResponseIsNotThatOfAServiceCall(t *testing.T) {
	e := newEngineOf(t, "1")
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusOK, http.StatusOK} {
		answer, err := e.CallService(t.Context(), ServiceCall{Method: http.MethodPost, Path: "/x"})
		assert.NilError(t, err)
		assert.Equal(t, answer.Status, status)
	}
}

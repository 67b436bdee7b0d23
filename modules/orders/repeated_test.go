package orders

import (
	"context"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	pb "github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/standin/repeating"
)

// Guards against taking the copy of an earlier response of the engine for the response to an order,
// which the engine carries out and the agent reports as refused.
func TestOrderDoesNotGetTheResponseToAnEarlierCall(t *testing.T) {
	engine, err := repeating.Start("X-Not-Run", "{}")
	assert.NilError(t, err)
	defer func() { _ = engine.Close() }()
	s := newOrderServer("llm-1", "http://"+engine.Address(), nil)
	status, _, err := s.callEngine(context.Background(), http.MethodGet, "/v1/info", nil)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	for range 2 {
		result, message := s.postToEngine(context.Background(), &pb.OrderRequest{Token: 1})
		assert.Equal(t, result, pb.OrderResult_ORDER_RESULT_ACCEPTED, message)
	}
}

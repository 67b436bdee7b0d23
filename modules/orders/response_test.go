package orders

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	pb "github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/standin/rawhttp"
)

// Guards against an order that an agent sends a second time because its engine answers with a
// redirect.
func TestOrderIsNotRedirected(t *testing.T) {
	var orders atomic.Int32
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if orders.Add(1) == 1 {
			http.Redirect(w, r, "/v1/orders", http.StatusTemporaryRedirect)
		}
	}))
	defer engine.Close()
	s := newOrderServer("llm-1", engine.URL, nil)
	result, message := s.postToEngine(t.Context(), &pb.OrderRequest{Token: 1})
	assert.Equal(t, result, pb.OrderResult_ORDER_RESULT_UNKNOWN, message)
	assert.Equal(t, orders.Load(), int32(1))
}

// Guards against an order that counts as accepted because of a status that is no response.
func TestImpossibleStatusAcceptsNoOrder(t *testing.T) {
	for _, status := range []string{"000", "101", "999"} {
		s := newOrderServer("llm-1", "http://"+rawhttp.Start(t, func(conn *net.TCPConn, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s X\r\nContent-Length: 0\r\n\r\n", status)
		}), nil)
		result, message := s.postToEngine(t.Context(), &pb.OrderRequest{Token: 1})
		assert.Equal(t, result, pb.OrderResult_ORDER_RESULT_UNKNOWN, "%s: %s", status, message)
	}
}

package objectstore

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/objectstore"
	"github.com/arbutusline/arbutusline/standin/rawhttp"
)

// Guards against a part of an answer without a length that is taken for the whole value, a write that
// counts as done because of one that was reset while the write was sent, and answers with a status that
// is none or behind an informational response with a body.
func TestPartsAndImpossibleStatusesAreNoAnswer(t *testing.T) {
	const inner = "HTTP/1.1 200 OK\r\nObject-Version: 4\r\nContent-Length: 2\r\n\r\nno"
	for name, test := range map[string]struct {
		answer string
		// early makes the store answer before it reads the body, and reset the connection then.
		early bool
	}{
		"part":                     {answer: "HTTP/1.1 200 OK\r\nObject-Version: 4\r\n\r\nhalf of the"},
		"part, reset":              {answer: "HTTP/1.1 200 OK\r\nObject-Version: 4\r\n\r\nhalf of the", early: true},
		"status 000":               {answer: "HTTP/1.1 000 X\r\n\r\n" + inner},
		"status 101":               {answer: "HTTP/1.1 101 X\r\n\r\n" + inner},
		"informational, with body": {answer: "HTTP/1.1 103 X\r\nContent-Length: 59\r\n\r\n" + inner},
	} {
		t.Run(name, func(t *testing.T) {
			address := rawhttp.Start(t, func(conn *net.TCPConn, r *http.Request) {
				if !test.early {
					_, _ = io.Copy(io.Discard, r.Body)
				}
				_, _ = io.WriteString(conn, test.answer)
				if test.early {
					time.Sleep(20 * time.Millisecond) // A reset that overtakes the head is an error in any case.
					_ = conn.SetLinger(0)
				}
			})
			client := newTestClient(t, "http://"+address)
			_, err := client.Get(context.Background(), "k")
			assert.Assert(t, errors.Is(err, objectstore.ErrUnavailable), "%v", err)
			_, err = client.Put(context.Background(), "k", make([]byte, objectstore.MaxValueBytes), 3)
			assert.Assert(t, errors.Is(err, objectstore.ErrAmbiguous), "%v", err)
		})
	}
}

package platform

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// Faults that write to the connection what net/http would not.
const (
	// FaultImpossibleStatus executes the request and answers with status 000 and a body that is the
	// text of a refusal.
	FaultImpossibleStatus Fault = "status 000"
	// FaultContradiction executes the request and answers 200 with the statement that it did not.
	FaultContradiction Fault = "not executed beside 200"
	// FaultResetPart executes the request, sends a part of a response without a length and resets the
	// connection.
	FaultResetPart Fault = "part before a reset"
)

// resetDelay lets the client read what was sent before a reset.
const resetDelay = 20 * time.Millisecond

// serveRaw answers an executed request with one of the faults above. It returns false for any other.
func (e *Endpoint) serveRaw(rw http.ResponseWriter, id string, fault Fault) bool {
	head := fmt.Sprintf("Request-Id: %s\r\nServer-Stamp: %s.%s\r\nContent-Type: text/event-stream\r\n", id, e.ID, id)
	text := ""
	switch fault {
	case FaultImpossibleStatus:
		refusal := fmt.Sprintf("HTTP/1.1 503 Busy\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		text = fmt.Sprintf("HTTP/1.1 000 None\r\n%sContent-Length: %d\r\n\r\n%s", head, len(refusal), refusal)
	case FaultContradiction:
		text = "HTTP/1.1 200 OK\r\n" + head + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	case FaultResetPart:
		text = "HTTP/1.1 200 OK\r\n" + head + "\r\nid: 1\ndata: token 1 of " + e.softwareVersion() + "\n\n"
	default:
		return false
	}
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		panic(err) // Tests serve HTTP/1.1, which supports Hijack.
	}
	_, _ = conn.Write([]byte(text)) // Fails only if the client disconnected.
	if t, ok := conn.(*net.TCPConn); ok && fault == FaultResetPart {
		time.Sleep(resetDelay)
		_ = t.SetLinger(0)
	}
	_ = conn.Close()
	return true
}

package adversary

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
)

// respond decides on a request. It returns the text of the response and what follows it.
func (c *connection) respond(a *Attempt, rng *rand.Rand, r *http.Request) (string, ending) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != c.endpoint.ID {
		return c.refuse(a, rng, http.StatusMisdirectedRequest), keepOpen
	}
	acts := []func(*Attempt, *rand.Rand, *http.Request) (string, ending){
		c.answer, c.answer, c.answer, c.fail, c.refuseOne, c.refuseOne, c.cut, c.partBeforeReset, c.noResponse, c.impossible, c.contradict,
	}
	return acts[rng.IntN(len(acts))](a, rng, r)
}

// run records that the endpoint begins to work on a request.
func (c *connection) run(a *Attempt, act string) {
	c.endpoint.update(func() { a.Ran, a.Act = true, act })
}

// head returns a head without framing and without the empty line at its end.
func head(status, id, stamp string) string {
	return "HTTP/1.1 " + status + " X\r\nRequest-Id: " + id + "\r\nServer-Stamp: " + stamp + "\r\n"
}

// body returns the body of the answer to a request.
func (c *connection) body(a *Attempt, rng *rand.Rand, r *http.Request) string {
	if c.endpoint.StreamEvents == 0 {
		return "answer " + a.Stamp + strings.Repeat(" ...", rng.IntN(3000))
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // Absent at the beginning of a stream.
	return Events(a.RequestID, last+1, c.endpoint.StreamEvents)
}

// Events returns the events first to last of the stream of a request.
func Events(id string, first, last int) string {
	var b strings.Builder
	for n := first; n <= last; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d of %s\n\n", n, n, id)
	}
	return b.String()
}

// answerText returns a success and whether its end is marked by a length or chunks.
func (c *connection) answerText(a *Attempt, rng *rand.Rand, r *http.Request) (text string, framed bool) {
	body := c.body(a, rng, r)
	c.endpoint.update(func() { a.Status, a.Body = http.StatusOK, body })
	h := head("200", a.RequestID, a.Stamp)
	if c.endpoint.StreamEvents > 0 {
		h += "Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n"
	}
	if r.Method == http.MethodHead {
		c.endpoint.update(func() { a.Body = "" })
		return h + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), true
	}
	switch rng.IntN(3) {
	case 0:
		return h + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body), true
	case 1:
		half := len(body) / 2
		chunks := fmt.Sprintf("%x\r\n%s\r\n", len(body)-half, body[half:])
		if half > 0 {
			chunks = fmt.Sprintf("%x\r\n%s\r\n", half, body[:half]) + chunks
		}
		if len(body) == 0 {
			chunks = ""
		}
		return h + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n", true
	}
	return h + "\r\n" + body, false
}

// answer runs the request and answers it in full. What follows may come twice, or nothing may.
func (c *connection) answer(a *Attempt, rng *rand.Rand, r *http.Request) (string, ending) {
	c.run(a, "answer")
	text, framed := c.answerText(a, rng, r)
	c.endpoint.update(func() { a.Whole = true })
	if !framed {
		return text, closeInOrder
	}
	if rng.IntN(5) == 0 {
		return text + text, keepOpen
	}
	if rng.IntN(3) == 0 {
		return text, ending(rng.IntN(int(endings)))
	}
	return text, keepOpen
}

// fail runs the request and answers with a failure, also with a status that promises "not run".
func (c *connection) fail(a *Attempt, rng *rand.Rand, _ *http.Request) (string, ending) {
	c.run(a, "fail")
	statuses := []int{400, 408, 421, 429, 500, 503, 504}
	status := statuses[rng.IntN(len(statuses))]
	c.endpoint.update(func() { a.Status, a.Whole = status, true })
	return head(strconv.Itoa(status), a.RequestID, a.Stamp) + "Content-Length: 0\r\n\r\n", keepOpen
}

// refuse answers that the request did not run.
func (c *connection) refuse(a *Attempt, rng *rand.Rand, status int) string {
	c.endpoint.update(func() { a.Act = "refuse" })
	text := fmt.Sprintf("HTTP/1.1 %d X\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, a.RequestID, c.endpoint.ID)
	if rng.IntN(3) == 0 {
		return text + text
	}
	return text
}

func (c *connection) refuseOne(a *Attempt, rng *rand.Rand, _ *http.Request) (string, ending) {
	statuses := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}
	return c.refuse(a, rng, statuses[rng.IntN(len(statuses))]), keepOpen
}

// cut runs the request and ends the response before its end.
func (c *connection) cut(a *Attempt, rng *rand.Rand, r *http.Request) (string, ending) {
	c.run(a, "cut")
	text, framed := c.answerText(a, rng, r)
	ends := []ending{closeInOrder, reset, halfClose, goSilent}
	next := ends[rng.IntN(len(ends))]
	length := rng.IntN(len(text))
	headLength := strings.Index(text, "\r\n\r\n") + 4
	insideEvent := c.endpoint.StreamEvents > 0 && !strings.HasSuffix(text[:length], "\n\n")
	if !framed && length >= headLength && !(insideEvent && length > headLength) {
		next = reset // Only a reset tells that a body without a length is not whole.
	}
	return text[:length], next
}

// partBeforeReset answers without a length and resets the connection.
func (c *connection) partBeforeReset(a *Attempt, rng *rand.Rand, r *http.Request) (string, ending) {
	if r.Method == http.MethodHead {
		return c.answer(a, rng, r) // Its head is the whole response.
	}
	c.run(a, "part before a reset")
	body := c.body(a, rng, r)
	part := body[:len(body)/2]
	if end := strings.LastIndex(part, "\n\n"); end > 0 {
		part = part[:end+2] // Whole events.
	}
	return head("200", a.RequestID, a.Stamp) + "Content-Type: text/event-stream\r\n\r\n" + part, reset
}

// noResponse ends the connection without a response. The request may have run.
func (c *connection) noResponse(a *Attempt, rng *rand.Rand, _ *http.Request) (string, ending) {
	if rng.IntN(2) == 0 {
		c.run(a, "no response")
	}
	return "", ending(1 + rng.IntN(int(endings)-1))
}

// impossible runs the request and answers with a status that is none, an informational response with
// a body, or bytes that are no response; the text of a response follows.
func (c *connection) impossible(a *Attempt, rng *rand.Rand, _ *http.Request) (string, ending) {
	c.run(a, "impossible")
	inner := forged(rng, a.RequestID)
	statuses := []string{"000", "099", "101", "600", "999"}
	h := head(statuses[rng.IntN(len(statuses))], a.RequestID, a.Stamp)
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(inner))
	switch rng.IntN(5) {
	case 0:
		return h + "Content-Length: 0\r\n\r\n", keepOpen
	case 4:
		return h + "\r\n" + inner, keepOpen
	case 1:
		return "HTTP/1.1 103 X\r\n" + length + inner, keepOpen
	case 2:
		return "SSH-2.0-X\r\n" + inner, keepOpen
	}
	return h + length + inner, keepOpen
}

// contradict runs the request and answers in a way that proves nothing: a success that says "not
// run" or has no signature, or a refusal with two IDs.
func (c *connection) contradict(a *Attempt, rng *rand.Rand, _ *http.Request) (string, ending) {
	c.run(a, "contradict")
	switch rng.IntN(3) {
	case 0:
		return head("200", a.RequestID, a.Stamp) + "Not-Executed: 1\r\nContent-Length: 2\r\n\r\nno", keepOpen
	case 1:
		return "HTTP/1.1 200 X\r\nRequest-Id: " + a.RequestID + "\r\nContent-Type: text/event-stream\r\nContent-Length: 6\r\n\r\n:no\n\n\n", keepOpen
	}
	return "HTTP/1.1 503 X\r\nRequest-Id: " + a.RequestID + "\r\nRequest-Id: other\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", keepOpen
}

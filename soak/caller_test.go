package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/arbutusline/arbutusline/standin/platform"
)

const (
	// callers is the number of callers that call one after the other.
	callerCount = 6
	// callPause is the mean pause of a caller between two calls.
	meanCallInterval = 20 * time.Millisecond
	// callDeadline is what callers tell the router; they wait twice as long.
	callDeadline = 3 * time.Second
	// leaveShare is the share of callers of streams, in percent, that leave early.
	earlyClosePercent = 5
)

// kinds are the kinds of calls with their paths.
var callKinds = []struct {
	kind         CallKind
	method, path string
}{
	{NonIdempotentCall, http.MethodPost, "/post/x"},
	{IdempotentCall, http.MethodGet, "/look/x"},
	{ResumableStream, http.MethodPost, "/ask/x"},
	{SingleEndpointStream, http.MethodPost, "/audit/x"},
}

// traffic calls until ctx ends, then waits for the calls under way.
func (d *deployment) runCallers(ctx context.Context, seed uint64, idPrefix string) {
	var running sync.WaitGroup
	for n := range callerCount {
		running.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(n)))
			client := &http.Client{Transport: &http.Transport{}, Timeout: 2 * callDeadline}
			defer client.CloseIdleConnections()
			for i := 0; ctx.Err() == nil; i++ {
				if r := d.routers[random.IntN(len(d.routers))]; r.isInRotation() {
					d.makeCall(client, r, random, fmt.Sprintf("%s-%d-%d", idPrefix, n, i))
				}
				time.Sleep(time.Duration(random.Int64N(int64(2 * meanCallInterval))))
			}
		})
	}
	running.Go(func() { d.probeRouters(ctx) })
	running.Wait()
}

func (d *deployment) probeRouters(ctx context.Context) {
	client := &http.Client{Timeout: callDeadline}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		for _, r := range d.routers {
			if r.isInRotation() {
				r.probeConfiguration(ctx, client)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// call makes one call and records it.
func (d *deployment) makeCall(client *http.Client, r *router, random *rand.Rand, id string) {
	kind := callKinds[random.IntN(len(callKinds))]
	c := Call{ID: id, Kind: kind.kind, Team: "open", Router: r.name, StartedAt: d.elapsed()}
	key := "key-1"
	if random.IntN(3) == 0 {
		c.Team, key = "walled", "key-2"
	}
	stream := kind.kind == ResumableStream || kind.kind == SingleEndpointStream
	closeAfterEvents := 0
	if stream && random.IntN(100) < earlyClosePercent {
		closeAfterEvents = 1 + random.IntN(eventsPerStream-1)
	}
	request, err := http.NewRequest(kind.method, "http://"+r.ip+":8000"+kind.path, strings.NewReader("body of "+id))
	if err != nil {
		d.t.Error(err)
		return
	}
	request.Host = platform.SampleHostname
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(callDeadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Token "+key)
	if stream {
		request.Header.Set("Model", "m")
		request.Header.Set("Token-Count", "1460,80")
		request.Header.Set("Prefix-Hash", fmt.Sprintf("5c1e07a2:800,91bd3f%02x:410,%x:250", random.IntN(8), random.Uint32()))
	}
	if response, err := client.Do(request); err == nil {
		c.Status = response.StatusCode
		if stream && c.Status == http.StatusOK {
			c.readEvents(response.Body, closeAfterEvents)
		} else if text, err := io.ReadAll(response.Body); err == nil {
			c.Body, c.Complete = string(text), true
		}
		_ = response.Body.Close() // What counts was read.
	}
	c.EndedAt = d.elapsed()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history.Calls = append(d.history.Calls, c)
}

// readEvents reads a stream to its end or leaves after an event.
func (c *Call) readEvents(body io.Reader, closeAfterEvents int) {
	reader := bufio.NewReader(body)
	for {
		line, err := reader.ReadString('\n')
		if id, ok := strings.CutPrefix(strings.TrimSuffix(line, "\n"), "id: "); ok && err == nil {
			n, numberErr := strconv.Atoi(id)
			if numberErr != nil {
				n = -1 // No event has this number: the checker finds it.
			}
			c.EventIDs = append(c.EventIDs, n)
			if closeAfterEvents > 0 && len(c.EventIDs) >= closeAfterEvents {
				c.ClosedByCaller = true
				return
			}
		}
		if err != nil {
			c.Complete = errors.Is(err, io.EOF)
			return
		}
	}
}

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
	// callerCount is the number of concurrent callers, each with one call at a time.
	callerCount = 6
	// meanCallInterval is the mean pause of a caller between two calls.
	meanCallInterval = 20 * time.Millisecond
	// callDeadline is the deadline that callers send in the Deadline-Ms header; they
	// wait twice as long.
	callDeadline = 3 * time.Second
	// earlyClosePercent is the share of streams that the caller closes early.
	earlyClosePercent = 5
)

// callKinds lists the kinds of calls with the routes of the sample configuration.
var callKinds = []struct {
	kind         CallKind
	method, path string
}{
	{NonIdempotentCall, http.MethodPost, "/post/x"},
	{IdempotentCall, http.MethodGet, "/look/x"},
	{ResumableStream, http.MethodPost, "/ask/x"},
	{SingleEndpointStream, http.MethodPost, "/audit/x"},
}

// runCallers makes calls and probes until ctx ends and returns when all calls in
// flight have ended. Call ids start with idPrefix.
func (d *deployment) runCallers(ctx context.Context, seed uint64, idPrefix string) {
	var running sync.WaitGroup
	for n := range callerCount {
		running.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(n)))
			client := &http.Client{Transport: &http.Transport{}, Timeout: 2 * callDeadline}
			defer client.CloseIdleConnections()
			for i := 0; ctx.Err() == nil; i++ {
				if r := d.routers[rng.IntN(len(d.routers))]; r.isInRotation() {
					d.makeCall(client, r, rng, fmt.Sprintf("%s-%d-%d", idPrefix, n, i))
				}
				time.Sleep(time.Duration(rng.Int64N(int64(2 * meanCallInterval))))
			}
		})
	}
	running.Go(func() { d.probeRouters(ctx) })
	running.Wait()
}

// probeRouters records the configuration versions of all routers until ctx ends.
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

// makeCall makes one random call and records it in the history.
func (d *deployment) makeCall(client *http.Client, r *router, rng *rand.Rand, id string) {
	kind := callKinds[rng.IntN(len(callKinds))]
	c := Call{ID: id, Kind: kind.kind, Team: "open", Router: r.name, StartedAt: d.elapsed()}
	key := "key-1"
	if rng.IntN(3) == 0 {
		c.Team, key = "walled", "key-2"
	}
	stream := kind.kind == ResumableStream || kind.kind == SingleEndpointStream
	closeAfterEvents := 0
	if stream && rng.IntN(100) < earlyClosePercent {
		closeAfterEvents = 1 + rng.IntN(eventsPerStream-1)
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
		request.Header.Set("Prefix-Hash", fmt.Sprintf("5c1e07a2:800,91bd3f%02x:410,%x:250", rng.IntN(8), rng.Uint32()))
	}
	if response, err := client.Do(request); err == nil {
		c.Status = response.StatusCode
		if stream && c.Status == http.StatusOK {
			c.readEvents(response.Body, closeAfterEvents)
		} else if text, err := io.ReadAll(response.Body); err == nil {
			c.Body, c.Complete = string(text), true
		}
		_ = response.Body.Close() // The body has been read.
	}
	c.EndedAt = d.elapsed()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history.Calls = append(d.history.Calls, c)
}

// readEvents reads the event ids of a stream to its end. If closeAfterEvents is
// positive, it stops after that many events.
func (c *Call) readEvents(body io.Reader, closeAfterEvents int) {
	reader := bufio.NewReader(body)
	for {
		line, err := reader.ReadString('\n')
		if id, ok := strings.CutPrefix(strings.TrimSuffix(line, "\n"), "id: "); ok && err == nil {
			n, numberErr := strconv.Atoi(id)
			if numberErr != nil {
				n = -1 // Not a valid id, so that the check reports it.
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

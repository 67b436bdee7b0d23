package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
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
	// takeUpPause is the longest pause before a caller takes up a broken stream.
	takeUpPause = 200 * time.Millisecond
	// earlyClosePercent is the share of streams that the caller closes early.
	earlyClosePercent = 5
	// slowPercent is the share of calls whose caller reads slowBytes at a time, in the seeds with
	// slow callers, and slowPause the longest pause between two reads. The 40 reads of a stream with
	// padded events take at most .6 s, far less than callDeadline.
	slowPercent = 30
	slowPause   = 15 * time.Millisecond
	slowBytes   = 32 << 10
	// slowEventPadding makes a stream longer than the buffers of the sockets, so that the router
	// waits for slow callers.
	slowEventPadding = 64 << 10
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
	running.Go(func() { d.probeRouters(ctx, d.routers) })
	running.Wait()
}

// probeRouters records the configuration versions of routers until ctx ends.
func (d *deployment) probeRouters(ctx context.Context, routers []*router) {
	client := &http.Client{Timeout: callDeadline}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		for _, r := range routers {
			if r.isInRotation() {
				r.probeConfiguration(ctx, client)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// makeCall makes one random call and records it in the history. If a resumable stream breaks,
// it takes the stream up until it is complete or the deadline has passed.
func (d *deployment) makeCall(client *http.Client, r *router, rng *rand.Rand, id string) {
	kind := callKinds[rng.IntN(len(callKinds))]
	c := Call{ID: id, Kind: kind.kind, Team: "open", Router: r.name, StartedAt: d.elapsed()}
	key := "key-1"
	if rng.IntN(3) == 0 {
		c.Team, key = "walled", "key-2"
	}
	closeAfterEvents := 0
	if c.isStream() && rng.IntN(100) < earlyClosePercent {
		closeAfterEvents = 1 + rng.IntN(eventsPerStream-1)
	}
	pause := time.Duration(0)
	if d.slowCallers && rng.IntN(100) < slowPercent {
		pause = time.Duration(1 + rng.Int64N(int64(slowPause)))
	}
	parts := fmt.Sprintf("5c1e07a2:800,91bd3f%02x:410,%x:250", rng.IntN(8), rng.Uint32())
	begunAt := time.Now()
	for n := 1; ; n++ {
		d.send(client, r, &c, kind.method, kind.path, key, parts, closeAfterEvents, pause)
		if c.Kind != ResumableStream || c.Complete || c.ClosedByCaller || c.lastEvent() == 0 {
			return
		}
		for r = nil; r == nil; {
			if time.Since(begunAt) > callDeadline {
				return
			}
			time.Sleep(time.Duration(rng.Int64N(int64(takeUpPause))))
			if candidate := d.routers[rng.IntN(len(d.routers))]; candidate.isInRotation() {
				r = candidate
			}
		}
		c = Call{ID: fmt.Sprintf("%s-r%d", id, n), Kind: c.Kind, Team: c.Team, Router: r.name, StartedAt: d.elapsed(), Resumes: id, AfterEvent: c.lastEvent()}
	}
}

func (c *Call) isStream() bool { return c.Kind == ResumableStream || c.Kind == SingleEndpointStream }

// lastEvent returns the last event of the stream that the caller has, or 0.
func (c *Call) lastEvent() int { return c.AfterEvent + len(c.EventIDs) }

// send makes a call and records it in the history.
func (d *deployment) send(client *http.Client, r *router, c *Call, method, path, key, parts string, closeAfterEvents int, pause time.Duration) {
	request, err := http.NewRequest(method, "http://"+r.ip+":8000"+path, strings.NewReader("body of "+c.ID))
	if err != nil {
		d.t.Error(err)
		return
	}
	request.Host = platform.SampleHostname
	request.Header.Set("Request-Id", c.ID)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(callDeadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Token "+key)
	if c.isStream() {
		request.Header.Set("Model", "m")
		request.Header.Set("Token-Count", "1460,80")
		request.Header.Set("Prefix-Hash", parts)
	}
	if c.Resumes != "" {
		request.Header.Set("Resumes", c.Resumes)
		request.Header.Set("Last-Event-Id", strconv.Itoa(c.AfterEvent))
	}
	if response, err := client.Do(request); err == nil {
		c.Status = response.StatusCode
		if c.isStream() && c.Status == http.StatusOK {
			c.readEvents(&slowReader{response.Body, pause}, closeAfterEvents)
		} else if text, err := io.ReadAll(&slowReader{response.Body, pause}); err == nil {
			c.Body, c.Complete = string(text), true
		}
		_ = response.Body.Close() // The body has been read.
	}
	c.EndedAt = d.elapsed()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history.Calls = append(d.history.Calls, *c)
}

// slowReader pauses before each read of at most slowBytes, unless the pause is 0.
type slowReader struct {
	io.Reader
	pause time.Duration
}

// Read implements io.Reader.
func (r *slowReader) Read(p []byte) (int, error) {
	if r.pause > 0 {
		time.Sleep(r.pause)
		p = p[:min(len(p), slowBytes)]
	}
	return r.Reader.Read(p)
}

// readEvents reads the event ids of a stream to its end. If closeAfterEvents is
// positive, it stops after that many events.
func (c *Call) readEvents(body io.Reader, closeAfterEvents int) {
	reader := bufio.NewReaderSize(body, slowBytes)
	for {
		line, err := reader.ReadString('\n')
		if _, version, ok := strings.Cut(strings.TrimSuffix(line, "\n"), " of "); ok && err == nil && strings.HasPrefix(line, "data: ") && !slices.Contains(c.SoftwareVersions, version) {
			c.SoftwareVersions = append(c.SoftwareVersions, version)
		}
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

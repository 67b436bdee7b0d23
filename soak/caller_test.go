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
	callers = 6
	// callPause is the mean pause of a caller between two calls.
	callPause = 20 * time.Millisecond
	// callDeadline is what callers tell the router; they wait twice as long.
	callDeadline = 3 * time.Second
	// leaveShare is the share of callers of streams, in percent, that leave early.
	leaveShare = 5
)

// kinds are the kinds of calls with their paths.
var kinds = []struct {
	kind         Kind
	method, path string
}{
	{Unsafe, http.MethodPost, "/post/x"},
	{Lookup, http.MethodGet, "/look/x"},
	{Resumable, http.MethodPost, "/ask/x"},
	{Single, http.MethodPost, "/audit/x"},
}

// traffic calls until ctx ends, then waits for the calls under way.
func (d *deployment) traffic(ctx context.Context, seed uint64, round string) {
	var done sync.WaitGroup
	for n := range callers {
		done.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(n)))
			client := &http.Client{Transport: &http.Transport{}, Timeout: 2 * callDeadline}
			defer client.CloseIdleConnections()
			for i := 0; ctx.Err() == nil; i++ {
				if r := d.routers[random.IntN(len(d.routers))]; r.rotates() {
					d.call(client, r, random, fmt.Sprintf("%s-%d-%d", round, n, i))
				}
				time.Sleep(time.Duration(random.Int64N(int64(2 * callPause))))
			}
		})
	}
	done.Go(func() { d.probeAll(ctx) })
	done.Wait()
}

func (d *deployment) probeAll(ctx context.Context) {
	client := &http.Client{Timeout: callDeadline}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		for _, r := range d.routers {
			if r.rotates() {
				r.probe(ctx, client)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// call makes one call and records it.
func (d *deployment) call(client *http.Client, r *router, random *rand.Rand, id string) {
	k := kinds[random.IntN(len(kinds))]
	c := Call{ID: id, Kind: k.kind, Team: "open", Router: r.name, Begun: d.now()}
	key := "key-1"
	if random.IntN(3) == 0 {
		c.Team, key = "walled", "key-2"
	}
	stream := k.kind == Resumable || k.kind == Single
	leaveAt := 0
	if stream && random.IntN(100) < leaveShare {
		leaveAt = 1 + random.IntN(streamEvents-1)
	}
	q, err := http.NewRequest(k.method, "http://"+r.ip+":8000"+k.path, strings.NewReader("body of "+id))
	if err != nil {
		d.t.Error(err)
		return
	}
	q.Host = platform.SampleHostname
	q.Header.Set("Request-Id", id)
	q.Header.Set("Deadline-Ms", strconv.FormatInt(callDeadline.Milliseconds(), 10))
	q.Header.Set("Authorization", "Token "+key)
	if stream {
		q.Header.Set("Model", "m")
		q.Header.Set("Token-Count", "1460,80")
		q.Header.Set("Prefix-Hash", fmt.Sprintf("5c1e07a2:800,91bd3f%02x:410,%x:250", random.IntN(8), random.Uint32()))
	}
	if answer, err := client.Do(q); err == nil {
		c.Status = answer.StatusCode
		if stream && c.Status == http.StatusOK {
			c.readEvents(answer.Body, leaveAt)
		} else if text, err := io.ReadAll(answer.Body); err == nil {
			c.Text, c.Whole = string(text), true
		}
		_ = answer.Body.Close() // What counts was read.
	}
	c.Ended = d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history.Calls = append(d.history.Calls, c)
}

// readEvents reads a stream to its end or leaves after an event.
func (c *Call) readEvents(body io.Reader, leaveAt int) {
	reader := bufio.NewReader(body)
	for {
		line, err := reader.ReadString('\n')
		if id, ok := strings.CutPrefix(strings.TrimSuffix(line, "\n"), "id: "); ok && err == nil {
			n, numberErr := strconv.Atoi(id)
			if numberErr != nil {
				n = -1 // No event has this number: the checker finds it.
			}
			c.Events = append(c.Events, n)
			if leaveAt > 0 && len(c.Events) >= leaveAt {
				c.Left = true
				return
			}
		}
		if err != nil {
			c.Whole = errors.Is(err, io.EOF)
			return
		}
	}
}

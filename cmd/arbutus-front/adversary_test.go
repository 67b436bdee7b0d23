package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/standin/adversary"
	"github.com/arbutusline/arbutusline/standin/platform"
)

const (
	// defaultAdversarySeeds take CI some seconds.
	defaultAdversarySeeds = 48
	// adversaryShards is the number of routers that play seeds at the same time.
	adversaryShards = 8
	// largeUploadBytes is more than the buffers of both sockets hold.
	largeUploadBytes = 6 << 20
)

// Guards against believing what a response does not prove: that the request did not run, that a
// response belongs to it, or that it is whole. Endpoints do whatever the protocol lets faulty ones do.
// It plays ARBUTUS_ADVERSARY_SEEDS seeds from ARBUTUS_ADVERSARY_FIRST on.
func TestAdversary(t *testing.T) {
	first, seeds := envNumber("ARBUTUS_ADVERSARY_FIRST", 1), envNumber("ARBUTUS_ADVERSARY_SEEDS", defaultAdversarySeeds)
	for shard := range adversaryShards {
		t.Run(fmt.Sprint("shard ", shard), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			// Ports that were found free stay free only on addresses that nobody else uses.
			c.network = fmt.Sprintf("127.%d.%d", 1+shard, 1+os.Getpid()%250)
			c.putConfiguration(2, func(config map[string]any) {
				config["limits"].(map[string]any)["max_body_bytes"] = 2 * largeUploadBytes
			})
			c.startEndpoint(engineEndpoint("first")) // A router is ready once it knows an engine.
			router := c.startRouter()
			c.store.Remove("servers", "first")
			c.eventually("the router knows that the endpoint is gone", func() bool { return len(router.fleetView().EndpointsByID) == 0 })
			for seed := first + shard; seed < first+seeds; seed += adversaryShards {
				for _, problem := range playAdversary(c, router, seed) {
					t.Errorf("seed %d: %s", seed, problem)
				}
			}
		})
	}
}

// envNumber returns the environment variable as a number, or fallback.
func envNumber(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// playAdversary sends requests to new endpoints of a seed and returns what is wrong.
func playAdversary(c *cluster, router *testRouter, seed int) []string {
	const streamEvents, callers, rounds = 8, 4, 4
	services := map[string][]*adversary.Endpoint{}
	var entries []string
	for i := range 4 {
		service, model, events := "app", "", 0
		if i%2 == 1 {
			service, model, events = "llm", "m", streamEvents
		}
		e, err := adversary.Start(fmt.Sprintf("e%d-%d", seed, i), events, uint64(seed))
		assert.NilError(c.t, err)
		defer func() { _ = e.Close() }()
		services[service] = append(services[service], e)
		// The entry of a predecessor at the same address outlives it.
		for _, id := range []string{e.ID, "gone-" + e.ID} {
			entry := &platform.Endpoint{ID: id, Service: service, Model: model}
			entry.SetWeightsVersion(1)
			zone := "a"
			if id == e.ID {
				zone = "b" // The predecessor is preferred.
			}
			c.store.Put("servers", id, entry.StoreEntry(e.Address(), zone, "ready"))
			entries = append(entries, id)
		}
	}
	c.eventually("the router knows the endpoints", func() bool { return len(router.fleetView().EndpointsByID) == len(entries) })
	var mu sync.Mutex
	told := map[string][]adversary.Told{}
	var running sync.WaitGroup
	for caller := range callers {
		running.Go(func() {
			for round := range rounds {
				service, t := sendToAdversary(router, seed, caller*rounds+round)
				mu.Lock()
				told[service] = append(told[service], t)
				mu.Unlock()
			}
		})
	}
	running.Wait()
	for _, id := range entries {
		c.store.Remove("servers", id)
	}
	c.eventually("the router knows that the endpoints are gone", func() bool { return len(router.fleetView().EndpointsByID) == 0 })
	var wrong []string
	for service, endpoints := range services {
		var attempts []adversary.Attempt
		for _, e := range endpoints {
			attempts = append(attempts, e.Attempts()...)
			wrong = append(wrong, e.Faults()...)
		}
		events := 0
		if service == "llm" {
			events = streamEvents
		}
		wrong = append(wrong, adversary.Judge(told[service], attempts, events)...)
	}
	return wrong
}

// sendToAdversary sends request n of a seed and returns its service and what the caller was told.
func sendToAdversary(router *testRouter, seed, n int) (service string, t adversary.Told) {
	kinds := []struct {
		method, path, service string
		upload                int
	}{
		{http.MethodPost, "/post/x", "app", 100}, {http.MethodPost, "/audit/x", "llm", 100}, {http.MethodGet, "/look/x", "app", 0},
		{http.MethodPost, "/ask/x", "llm", 100}, {http.MethodHead, "/look/x", "app", 0}, {http.MethodPost, "/post/x", "app", 64 << 10},
		{http.MethodPost, "/post/x", "app", largeUploadBytes}, {http.MethodPost, "/audit/x", "llm", largeUploadBytes},
	}
	k := kinds[(seed+n)%len(kinds)]
	id := fmt.Sprintf("s%d.r%d", seed, n)
	headers := []string{"Deadline-Ms", "1200"}
	if k.service == "llm" {
		headers = append(headers, "Model", "m", "Token-Count", "1460,200", "Prefix-Hash", fmt.Sprintf("5c1e07a2:800,%x:660", 1000*seed+n))
	}
	r := router.send(id, k.method, k.path, adversary.UploadBody(id, k.upload), headers...)
	return k.service, adversary.Told{
		RequestID: id, Method: k.method + " " + k.path, Repeatable: k.path == "/look/x" || k.path == "/ask/x",
		Err: r.err, Status: r.status, Stamp: r.header.Get("Server-Stamp"), Body: r.body,
	}
}

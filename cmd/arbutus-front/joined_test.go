package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	standin "github.com/arbutusline/arbutusline/standin/platform"
)

// versionedEngine starts an engine with a software version, whose streams last for .15 s.
func (c *cluster) versionedEngine(id, softwareVersion string) *standin.Endpoint {
	e := engineEndpoint(id)
	e.SoftwareVersion, e.StreamEvents, e.EventInterval = softwareVersion, 30, 5*time.Millisecond
	return c.startEndpoint(e)
}

// softwareVersions returns the software versions that the events of a stream name.
func (r response) softwareVersions() map[string]bool {
	out := map[string]bool{}
	scanner := bufio.NewScanner(strings.NewReader(r.body))
	for scanner.Scan() {
		if _, version, ok := strings.Cut(scanner.Text(), " of "); ok && strings.HasPrefix(scanner.Text(), "data: ") {
			out[version] = true
		}
	}
	return out
}

// promptParts returns the parts of a prompt that shares nothing with others, so that all
// endpoints are as good for it.
func promptParts(id string) string {
	return fmt.Sprintf("%x:1210,e4402b7d:250", xxhash.Sum64String(id)>>1)
}

// beginStream reads the first events of a stream and then disconnects.
func (r *testRouter) beginStream(t *testing.T, id string, events int) response {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, r.callerURL+"/ask/x", strings.NewReader("prompt"))
	assert.NilError(t, err)
	req.Host = standin.SampleHostname
	for name, value := range map[string]string{
		"Request-Id": id, "Deadline-Ms": "5000", "Authorization": "Token key-1", "Model": "m", "Token-Count": "1460,200",
		"Prefix-Hash": promptParts(id),
	} {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	var body strings.Builder
	reader := bufio.NewReader(resp.Body)
	for seen := 0; seen < events; {
		line, err := reader.ReadString('\n')
		assert.NilError(t, err)
		body.WriteString(line)
		if line == "\n" {
			seen++
		}
	}
	return response{status: resp.StatusCode, header: resp.Header, body: body.String(), err: io.ErrUnexpectedEOF}
}

// Guards against a stream that goes on at an endpoint of another software version after its
// endpoint failed: within one response it holds pieces that do not fit together.
func TestStreamGoesOnOnlyAtItsSoftwareVersion(t *testing.T) {
	c := newCluster(t)
	for i := range 4 {
		c.versionedEngine(fmt.Sprintf("old%d", i), "v1")
		c.versionedEngine(fmt.Sprintf("new%d", i), "v2")
	}
	router := c.startRouter()
	c.eventually("streams are served", func() bool { return router.sendPrompt("warm", "/ask/x").status == http.StatusOK })
	for i := range 8 {
		for _, e := range c.engines {
			e.InjectFault(1, standin.FaultTruncatedResponse)
		}
		id := fmt.Sprintf("s%d", i)
		r := router.sendPrompt(id, "/ask/x", "Prefix-Hash", promptParts(id))
		assert.Assert(t, len(r.softwareVersions()) <= 1, "the stream holds events of %v", r.softwareVersions())
	}
}

// Guards against a stream that a caller takes up again and that goes on at another software
// version than that which began it: at the router that began it, at another one, and after
// all routers were killed at once; also when two versions serve side by side for long.
func TestTakenUpStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	c := newCluster(t)
	for i := range 2 {
		c.versionedEngine(fmt.Sprintf("old%d", i), "v1")
		c.versionedEngine(fmt.Sprintf("new%d", i), "v2")
	}
	first, second := c.startRouter(), c.startRouter()
	warm := func() bool { return first.sendPrompt("warm", "/ask/x").status == http.StatusOK }
	c.eventually("streams are served", warm)
	begun := map[string]response{}
	for i := range 16 {
		id := fmt.Sprintf("s%d", i)
		begun[id] = first.beginStream(t, id, 3)
	}
	// What began at one engine has to go on at another one.
	c.registerEndpoint(c.engines[0], "draining")
	c.registerEndpoint(c.engines[1], "draining")
	takeUp := func(r *testRouter, suffix string) (continued int) {
		for id, before := range begun {
			after := r.sendPrompt(id+suffix, "/ask/x", "Last-Event-Id", "3", "Resumes", id, "Prefix-Hash", promptParts(id))
			if after.status == http.StatusServiceUnavailable {
				continue
			}
			assert.NilError(t, after.err)
			assert.Equal(t, after.status, http.StatusOK)
			assert.DeepEqual(t, after.softwareVersions(), before.softwareVersions())
			continued++
		}
		return continued
	}
	assert.Equal(t, takeUp(first, "-same"), len(begun))
	assert.Equal(t, takeUp(second, "-other"), len(begun))
	first.stop(t)
	second.stop(t)
	assert.Equal(t, takeUp(c.startRouter(), "-restarted"), len(begun), "a version that has served for long is known after a restart of all routers")
}

// Guards against a stream that goes on at another software version because a configuration has
// ended the resumability of its route, so that nothing pins the version any more.
func TestStreamsOfARouteThatIsNotResumableAreNotTakenUp(t *testing.T) {
	c := newCluster(t)
	c.versionedEngine("old", "v1")
	router := c.startRouter()
	c.eventually("streams are served", func() bool { return router.sendPrompt("warm", "/ask/x").status == http.StatusOK })
	begun := router.beginStreams(t, 4)
	c.versionedEngine("new", "v2")
	c.putConfiguration(2, func(config map[string]any) {
		for _, route := range config["routes"].([]map[string]any) {
			route["resumable"] = false
		}
	})
	c.eventually("the configuration is in force", func() bool { return router.fleetView().Config.Version == 2 })
	assert.Equal(t, router.countTakenUp(begun), 0)
	assert.Equal(t, router.sendPrompt("fresh", "/ask/x").status, http.StatusOK)
}

// Guards against a router that alone lacks the store and continues streams by what it knew
// before, and against refusing to continue streams while no router reaches the store.
func TestStreamsAreTakenUpWithoutStoreOnlyIfAllRoutersLackIt(t *testing.T) {
	c := newCluster(t)
	for i := range 2 {
		c.versionedEngine(fmt.Sprintf("e%d", i), "v1")
	}
	routers := []*testRouter{c.startRouter(), c.startRouter()}
	c.eventually("streams are served", func() bool { return routers[0].sendPrompt("warm", "/ask/x").status == http.StatusOK })
	routers[0].beginStream(t, "begun", 3)
	tries := 0
	takeUp := func(r *testRouter) int {
		tries++
		return r.sendPrompt(fmt.Sprintf("taken-up-%d", tries), "/ask/x", "Last-Event-Id", "3", "Resumes", "begun", "Prefix-Hash", promptParts("begun")).status
	}
	for _, r := range routers {
		assert.Equal(t, takeUp(r), http.StatusOK)
	}
	routers[1].storeProxy.MakeUnavailable()
	for range 15 {
		assert.Equal(t, takeUp(routers[1]), http.StatusServiceUnavailable, "the other router may have changed the table")
		assert.Equal(t, takeUp(routers[0]), http.StatusOK)
		time.Sleep(100 * time.Millisecond)
	}
	routers[0].storeProxy.MakeUnavailable()
	for _, r := range routers {
		c.eventually("the stream goes on without the store", func() bool { return takeUp(r) == http.StatusOK })
	}
}

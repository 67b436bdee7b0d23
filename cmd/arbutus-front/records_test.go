package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/modules/streamversions"
)

// Guards against records of streams that a restored copy of the store lacks and that nobody
// writes again until another stream begins, so that a loss of power then loses them.
func TestRecordsAreWrittenAgainAfterARestore(t *testing.T) {
	c := newCluster(t)
	c.versionedEngine("old", "v1")
	router := c.startRouter()
	begin := func(n int) { router.beginStream(t, fmt.Sprintf("s%d", n), 3) }
	begin(0)
	copied := c.store.Copy()
	c.versionedEngine("new", "v2")
	n := 0
	c.eventually("a stream of a moved slot is recorded", func() bool {
		n++
		begin(n)
		return len(c.store.Names(streamversions.KindRecords)) > 0
	})
	c.store.Restore(copied)
	c.eventually("the record is written again", func() bool { return len(c.store.Names(streamversions.KindRecords)) > 0 })
}

// Guards against streams that nobody can continue because the router that began them died while
// the store was away: the record of their software version was in its memory alone.
func TestStreamsOfARouterThatDiesWithoutTheStoreGoOn(t *testing.T) {
	c := newCluster(t)
	c.versionedEngine("old", "v1")
	dying, other := c.startRouter(), c.startRouter()
	dying.beginStream(t, "s0", 3)
	c.versionedEngine("new", "v2")
	n := 0
	begin := func() string {
		n++
		id := fmt.Sprintf("s%d", n)
		dying.beginStream(t, id, 3)
		return id
	}
	c.eventually("slots have moved", func() bool {
		begin()
		return len(c.store.Names(streamversions.KindRecords)) > 0
	})
	for _, r := range c.routers {
		r.storeProxy.PauseRequests()
		t.Cleanup(r.storeProxy.ResumeRequests)
	}
	var begun []string
	for range 30 {
		begun = append(begun, begin())
	}
	time.Sleep(time.Second) // Streams that begin just before their router dies may be lost.
	dying.stop(t)
	other.storeProxy.ResumeRequests()
	c.eventually("the store is back", func() bool {
		return other.directory().InTouch(500*time.Millisecond) && !other.directory().StoreUnreachable()
	})
	continued := 0
	for _, id := range begun {
		if other.sendPrompt(id+"-taken-up", "/ask/x", "Last-Event-Id", "3", "Resumes", id, "Prefix-Hash", promptParts(id)).status == http.StatusOK {
			continued++
		}
	}
	assert.Equal(t, continued, len(begun))
}

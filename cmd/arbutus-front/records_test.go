package main

import (
	"fmt"
	"testing"

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

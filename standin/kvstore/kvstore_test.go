package kvstore

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/standin/engine"
)

// Guards against blocks of one weights version being served for another, against
// blocks returned after a missing one, and against a store that exceeds its capacity
// or evicts recently used blocks.
func TestStore(t *testing.T) {
	s := NewStore(3)
	newExport := func(version string, hashes ...uint64) engine.Export {
		export := engine.Export{Model: "m", WeightsVersion: version}
		for _, h := range hashes {
			export.Blocks = append(export.Blocks, engine.Block{Hash: h})
		}
		return export
	}
	s.Put(newExport("v1", 1, 2, 3))
	assert.Equal(t, len(s.GetPrefix("m", "v2", []uint64{1}).Blocks), 0)
	assert.Equal(t, len(s.GetPrefix("m", "v1", []uint64{1, 9, 2}).Blocks), 1)
	s.Put(newExport("v1", 4))
	assert.Equal(t, s.Len(), 3)
	assert.Equal(t, len(s.GetPrefix("m", "v1", []uint64{1}).Blocks), 1)
	assert.Equal(t, len(s.GetPrefix("m", "v1", []uint64{2}).Blocks), 0)
}

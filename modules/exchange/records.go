package exchange

import (
	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/peering"
	"github.com/arbutusline/arbutusline/decision/versionpin"
)

// holdsRecordsOf reports whether this router holds the records of a peer's streams.
func (x *Exchange) holdsRecordsOf(p *peer) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	reached := make([]string, 0, len(x.peers))
	for address, other := range x.peers {
		if !other.unreachable {
			reached = append(reached, address)
		}
	}
	return peering.IsHolder(x.ownAddress, p.address, reached, recordHolders)
}

// streamRecords returns the records that a caller lacks, or nil if it lacks none or holds none.
func (x *Exchange) streamRecords(in *arbutuspb.RouterState) *arbutuspb.StreamRecords {
	if in.GetStreamRecords() == nil {
		return nil
	}
	held := decodeCursor(in.GetStreamRecords())
	records, next := x.versions.RecordsSince(held)
	if next == held {
		return nil
	}
	out := encodeCursor(next)
	out.Records = records
	return out
}

func encodeCursor(c versionpin.Cursor) *arbutuspb.StreamRecords {
	return &arbutuspb.StreamRecords{Incarnation: c.Incarnation, Position: c.Position}
}

func decodeCursor(r *arbutuspb.StreamRecords) versionpin.Cursor {
	return versionpin.Cursor{Incarnation: r.GetIncarnation(), Position: r.GetPosition()}
}

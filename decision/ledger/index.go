package ledger

import "slices"

// keyIndex maps key hashes to the sealed segments that contain the keys. It takes 12
// bytes and the overhead of the map per key, and holds no records.
type keyIndex struct {
	// firstSegment holds one segment of each hash.
	firstSegment map[uint64]uint32
	// moreSegments holds the other segments of a hash: the records of the claim and
	// of its end may be in different segments, and two keys may have the same hash.
	moreSegments map[uint64][]uint32
	// falseMatches holds the segments that contain the hash of a key but not the
	// key itself.
	falseMatches map[Key][]uint32
}

func (x *keyIndex) len() int { return len(x.firstSegment) }

func (x *keyIndex) add(hash uint64, seq uint32) {
	if x.firstSegment == nil {
		x.firstSegment, x.moreSegments, x.falseMatches = map[uint64]uint32{}, map[uint64][]uint32{}, map[Key][]uint32{}
	}
	if first, ok := x.firstSegment[hash]; !ok {
		x.firstSegment[hash] = seq
	} else if first != seq && !slices.Contains(x.moreSegments[hash], seq) {
		x.moreSegments[hash] = append(x.moreSegments[hash], seq)
	}
}

// newestSegment returns the newest segment that may contain the key.
func (x *keyIndex) newestSegment(key Key) (uint32, bool) {
	hash := key.Hash()
	seq, ok := x.firstSegment[hash]
	if !ok {
		return 0, false
	}
	best, found := uint32(0), false
	for _, s := range append([]uint32{seq}, x.moreSegments[hash]...) {
		if s >= best && !slices.Contains(x.falseMatches[key], s) {
			best, found = s, true
		}
	}
	return best, found
}

// addFalseMatch records that the segment contains the hash of the key but not the
// key itself.
func (x *keyIndex) addFalseMatch(hash uint64, seq uint32, key Key) {
	if first, ok := x.firstSegment[hash]; ok && (first == seq || slices.Contains(x.moreSegments[hash], seq)) {
		x.falseMatches[key] = append(x.falseMatches[key], seq)
	}
}

// removeSegment removes all entries of a segment.
func (x *keyIndex) removeSegment(seq uint32) {
	for hash, first := range x.firstSegment {
		if first != seq {
			continue
		}
		if rest := x.moreSegments[hash]; len(rest) > 0 {
			x.firstSegment[hash] = rest[0]
			x.moreSegments[hash] = rest[1:]
		} else {
			delete(x.firstSegment, hash)
		}
	}
	for hash, list := range x.moreSegments {
		list = slices.DeleteFunc(list, func(s uint32) bool { return s == seq })
		if len(list) == 0 {
			delete(x.moreSegments, hash)
		} else {
			x.moreSegments[hash] = list
		}
	}
}

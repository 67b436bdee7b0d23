package selection

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutusline/arbutusline/fleet"
)

const (
	// secondPreferredCost and notPreferredCost are the most that is added for an
	// endpoint that lacks shared parts and that rendezvous hashing ranks second, or
	// lower than that. They let all routers choose the same endpoint for a new part,
	// unless that endpoint has much more work than others. The parts' own recompute
	// cost bounds them, so that a short prompt does not queue behind a long one.
	secondPreferredCost = 400 * time.Millisecond
	notPreferredCost    = 2000 * time.Millisecond
)

// maxHolderUpdates is the maximum number of holder updates that wait to be sent to
// other routers.
const maxHolderUpdates = 1000

// maxHoldersPerPart is the maximum number of holders that are stored for a part. It
// limits the memory for parts that most endpoints hold, such as the first part of
// prompts.
const maxHoldersPerPart = 64

// partKeys returns the keys of the prompt's shared parts.
func partKeys(namespace string, p *fleet.Prompt) []uint64 {
	return appendPartKeys(make([]uint64, 0, len(p.Parts)), namespace, p)
}

// appendPartKeys appends the keys of the prompt's shared parts to list.
func appendPartKeys(list []uint64, namespace string, p *fleet.Prompt) []uint64 {
	for _, part := range p.Parts[:max(0, len(p.Parts)-1)] {
		list = append(list, PartKey(namespace, p.Model, part.ID))
	}
	return list
}

// PartKey returns the key of a prompt part in a cache namespace and model.
func PartKey(namespace, model string, id uint64) uint64 {
	return mix(xxhash.Sum64String(namespace)*31 ^ xxhash.Sum64String(model) ^ mix(id))
}

// mix hashes a word with the finaliser of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// holder is an endpoint, or the KV cache store, that holds a part.
type holder struct {
	endpointID     string
	weightsVersion uint64
	lastUsed       time.Duration
	// computed is true when the endpoint has computed the part, so that others can
	// fetch the part there.
	computed bool
	// tokens is the number of the part's tokens that the endpoint holds, or
	// wholePartTokens.
	tokens int
}

// wholePartTokens stands for all tokens of a part of unknown size.
const wholePartTokens = 1 << 30

// CachedParts are parts that an endpoint holds in its cache under a weights version.
type CachedParts struct {
	EndpointID     string
	WeightsVersion uint64
	Keys           []uint64
	// Computed is false while the endpoint is still computing the parts.
	Computed bool
}

// holderUpdate is a new or changed holder that is to be sent to other routers.
type holderUpdate struct {
	partKey        uint64
	endpointID     string
	weightsVersion uint64
	computed       bool
}

// partIndex records which endpoints hold which parts.
type partIndex struct {
	maxParts int
	holders  map[uint64][]holder
	updates  []holderUpdate
}

func newPartIndex(maxParts int) partIndex {
	return partIndex{maxParts: maxParts, holders: map[uint64][]holder{}}
}

// findHolder returns the entry of an endpoint as holder of a part under a weights
// version, or nil.
func (x *partIndex) findHolder(key uint64, endpointID string, weightsVersion uint64) *holder {
	list := x.holders[key]
	for i := range list {
		if list[i].endpointID == endpointID && list[i].weightsVersion == weightsVersion {
			return &list[i]
		}
	}
	return nil
}

// markComputed records that the endpoint has computed a part.
func (x *partIndex) markComputed(key uint64, endpointID string, weightsVersion uint64) {
	h := x.findHolder(key, endpointID, weightsVersion)
	if h == nil || h.computed {
		return
	}
	h.computed = true
	x.queueUpdate(holderUpdate{key, endpointID, weightsVersion, true})
}

func (x *partIndex) queueUpdate(u holderUpdate) {
	if len(x.updates) < maxHolderUpdates {
		x.updates = append(x.updates, u)
	}
}

// recordUse records that a request with the part was sent to the endpoint, and reports
// whether the endpoint was not known to hold the part.
func (x *partIndex) recordUse(key uint64, endpointID string, weightsVersion uint64, now time.Duration) bool {
	list := x.holders[key]
	oldest := 0
	for i, h := range list {
		if h.endpointID == endpointID {
			changed := h.weightsVersion != weightsVersion
			if changed {
				list[i].computed = false
			}
			list[i].weightsVersion, list[i].lastUsed, list[i].tokens = weightsVersion, now, wholePartTokens
			return changed
		}
		if h.lastUsed < list[oldest].lastUsed {
			oldest = i
		}
	}
	h := holder{endpointID: endpointID, weightsVersion: weightsVersion, lastUsed: now, tokens: wholePartTokens}
	if len(list) >= maxHoldersPerPart {
		list[oldest] = h
		return true
	}
	if len(list) == 0 && len(x.holders) >= x.maxParts {
		x.evict(now)
	}
	x.holders[key] = append(list, h)
	return true
}

// evict removes an arbitrary tenth of the parts. Parts in use are added again with
// their next request.
func (x *partIndex) evict(time.Duration) {
	n := max(1, x.maxParts/10)
	for key := range x.holders {
		if n--; n < 0 {
			return
		}
		delete(x.holders, key)
	}
}

// applyCacheEvent records how much of a part an engine's cache holds, as reported by
// the engine. The part may be unknown to this router, for example after its start.
func (x *partIndex) applyCacheEvent(now time.Duration, key uint64, endpointID string, weightsVersion uint64, tokens int) {
	list := x.holders[key]
	for i := range list {
		if list[i].endpointID != endpointID || list[i].weightsVersion > weightsVersion || endpointID == KVCacheStoreID && list[i].weightsVersion != weightsVersion {
			continue
		}
		if tokens == 0 {
			if !list[i].computed {
				return // The part is being computed again.
			}
			x.removeHolder(key, i)
			return
		}
		list[i].tokens, list[i].weightsVersion, list[i].computed, list[i].lastUsed = tokens, weightsVersion, true, now
		return
	}
	if tokens == 0 || len(list) >= maxHoldersPerPart {
		return
	}
	if len(list) == 0 && len(x.holders) >= x.maxParts {
		x.evict(now)
	}
	x.holders[key] = append(list, holder{endpointID: endpointID, weightsVersion: weightsVersion, lastUsed: now, computed: true, tokens: tokens})
}

// removeHolder removes the holder of a part at position i.
func (x *partIndex) removeHolder(key uint64, i int) {
	list := x.holders[key]
	list = append(list[:i], list[i+1:]...)
	if len(list) == 0 {
		delete(x.holders, key)
		return
	}
	x.holders[key] = list
}

// removeOlderVersions removes what an endpoint held under versions before the given
// one.
func (x *partIndex) removeOlderVersions(endpointID string, version uint64) {
	for key, list := range x.holders {
		for i := range list {
			if list[i].endpointID == endpointID && list[i].weightsVersion < version {
				x.removeHolder(key, i)
				break // A list has an endpoint at most once.
			}
		}
	}
}

// removeEndpoint removes an endpoint from all parts.
func (x *partIndex) removeEndpoint(endpointID string) {
	for key, list := range x.holders {
		kept := list[:0]
		for _, h := range list {
			if h.endpointID != endpointID {
				kept = append(kept, h)
			}
		}
		if len(kept) == 0 {
			delete(x.holders, key)
			continue
		}
		x.holders[key] = kept
	}
}

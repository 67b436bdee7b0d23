package selection

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutusline/arbutusline/fleet"
)

const (
	// homeSecond and homeOther are the costs of starting an unknown part at the
	// second or another endpoint of its rendezvous order. They let all routers
	// start it at the same endpoint unless that one has much more to do.
	secondPreferredCost = 200 * time.Millisecond
	notPreferredCost    = 600 * time.Millisecond
)

// maxNews bounds the holders that wait to be told to other routers.
const maxHolderUpdates = 1000

// holdersPerPart is the number of endpoints that are remembered for a part. The
// first parts of all prompts are held by most endpoints.
const holdersPerPart = 64

// partKeys returns the keys of the shared parts.
func partKeys(namespace string, p *fleet.Prompt) []uint64 {
	return appendPartKeys(make([]uint64, 0, len(p.Parts)), namespace, p)
}

// appendPartKeys appends the keys of the shared parts to a list.
func appendPartKeys(list []uint64, namespace string, p *fleet.Prompt) []uint64 {
	for _, part := range p.Parts[:max(0, len(p.Parts)-1)] {
		list = append(list, PartKey(namespace, p.Model, part.ID))
	}
	return list
}

// PartKey identifies a part within a namespace and model.
func PartKey(namespace, model string, id uint64) uint64 {
	return mix(xxhash.Sum64String(namespace)*31 ^ xxhash.Sum64String(model) ^ mix(id))
}

func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

type holder struct {
	endpoint       string
	weightsVersion uint64
	lastUsed       time.Duration
	// read means that the endpoint has finished reading the part, so that
	// others can fetch it there.
	computed bool
	// tokens is how much of the part the endpoint holds, or wholePart.
	tokens int
}

// wholePart stands for all tokens of a part.
const wholePartTokens = 1 << 30

// Held says that an endpoint holds parts that it read under a weights version.
type CachedParts struct {
	Endpoint       string
	WeightsVersion uint64
	Keys           []uint64
	// Read is false while the endpoint is still reading the parts.
	Computed bool
}

// news is a holder that other routers may not know.
type holderUpdate struct {
	partKey        uint64
	endpoint       string
	weightsVersion uint64
	computed       bool
}

type partIndex struct {
	maxParts int
	holders  map[uint64][]holder
	updates  []holderUpdate
}

func newPartIndex(maxParts int) partIndex {
	return partIndex{maxParts: maxParts, holders: map[uint64][]holder{}}
}

// find returns the holder of a part at an endpoint, or nil.
func (t *partIndex) findHolder(key uint64, endpoint string, weightsVersion uint64) *holder {
	list := t.holders[key]
	for i := range list {
		if list[i].endpoint == endpoint && list[i].weightsVersion == weightsVersion {
			return &list[i]
		}
	}
	return nil
}

// finished notes that the endpoint has read a part.
func (t *partIndex) markComputed(key uint64, endpoint string, weightsVersion uint64) {
	h := t.findHolder(key, endpoint, weightsVersion)
	if h == nil || h.computed {
		return
	}
	h.computed = true
	t.queueUpdate(holderUpdate{key, endpoint, weightsVersion, true})
}

func (t *partIndex) queueUpdate(n holderUpdate) {
	if len(t.updates) < maxHolderUpdates {
		t.updates = append(t.updates, n)
	}
}

// used notes that a request with the part was sent to the endpoint and reports
// whether the endpoint was not known to hold it.
func (t *partIndex) recordUse(key uint64, endpoint string, weightsVersion uint64, now time.Duration) bool {
	list := t.holders[key]
	oldest := 0
	for i, h := range list {
		if h.endpoint == endpoint {
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
	h := holder{endpoint: endpoint, weightsVersion: weightsVersion, lastUsed: now, tokens: wholePartTokens}
	if len(list) >= holdersPerPart {
		list[oldest] = h
		return true
	}
	if len(list) == 0 && len(t.holders) >= t.maxParts {
		t.evict(now)
	}
	t.holders[key] = append(list, h)
	return true
}

// evict drops an arbitrary tenth of the table; entries in use come back with
// their next request.
func (t *partIndex) evict(time.Duration) {
	n := max(1, t.maxParts/10)
	for key := range t.holders {
		if n--; n < 0 {
			return
		}
		delete(t.holders, key)
	}
}

// event takes the engine's own word for what it holds of a part. It names also parts
// that this router has not seen yet, such as after its start.
func (t *partIndex) applyCacheEvent(now time.Duration, key uint64, endpoint string, weightsVersion uint64, tokens int) {
	list := t.holders[key]
	for i := range list {
		if list[i].endpoint != endpoint || list[i].weightsVersion > weightsVersion || endpoint == KVCacheStoreID && list[i].weightsVersion != weightsVersion {
			continue
		}
		if tokens == 0 {
			if !list[i].computed {
				return // The part is being read again.
			}
			t.removeHolder(key, i)
			return
		}
		list[i].tokens, list[i].weightsVersion, list[i].computed, list[i].lastUsed = tokens, weightsVersion, true, now
		return
	}
	if tokens == 0 || len(list) >= holdersPerPart {
		return
	}
	if len(list) == 0 && len(t.holders) >= t.maxParts {
		t.evict(now)
	}
	t.holders[key] = append(list, holder{endpoint: endpoint, weightsVersion: weightsVersion, lastUsed: now, computed: true, tokens: tokens})
}

// remove forgets one holder of a part.
func (t *partIndex) removeHolder(key uint64, i int) {
	list := t.holders[key]
	list = append(list[:i], list[i+1:]...)
	if len(list) == 0 {
		delete(t.holders, key)
		return
	}
	t.holders[key] = list
}

// dropOlder forgets what an endpoint held under weights before the version.
func (t *partIndex) removeOlderVersions(endpoint string, version uint64) {
	for key, list := range t.holders {
		for i := range list {
			if list[i].endpoint == endpoint && list[i].weightsVersion < version {
				t.removeHolder(key, i)
				break // An endpoint is in a list once.
			}
		}
	}
}

func (t *partIndex) removeEndpoint(endpoint string) {
	for key, list := range t.holders {
		kept := list[:0]
		for _, h := range list {
			if h.endpoint != endpoint {
				kept = append(kept, h)
			}
		}
		if len(kept) == 0 {
			delete(t.holders, key)
			continue
		}
		t.holders[key] = kept
	}
}

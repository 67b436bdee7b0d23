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
	homeSecond = 200 * time.Millisecond
	homeOther  = 600 * time.Millisecond
)

// maxNews bounds the holders that wait to be told to other routers.
const maxNews = 1000

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
	endpoint string
	weights  uint64
	used     time.Duration
	// read means that the endpoint has finished reading the part, so that
	// others can fetch it there.
	read bool
	// tokens is how much of the part the endpoint holds, or wholePart.
	tokens int
}

// wholePart stands for all tokens of a part.
const wholePart = 1 << 30

// Held says that an endpoint holds parts that it read under a weights version.
type Held struct {
	Endpoint string
	Weights  uint64
	Keys     []uint64
	// Read is false while the endpoint is still reading the parts.
	Read bool
}

// news is a holder that other routers may not know.
type news struct {
	key      uint64
	endpoint string
	weights  uint64
	read     bool
}

type partTable struct {
	max     int
	holders map[uint64][]holder
	fresh   []news
}

func newPartTable(limit int) partTable {
	return partTable{max: limit, holders: map[uint64][]holder{}}
}

// find returns the holder of a part at an endpoint, or nil.
func (t *partTable) find(key uint64, endpoint string, weights uint64) *holder {
	list := t.holders[key]
	for i := range list {
		if list[i].endpoint == endpoint && list[i].weights == weights {
			return &list[i]
		}
	}
	return nil
}

// finished notes that the endpoint has read a part.
func (t *partTable) finished(key uint64, endpoint string, weights uint64) {
	h := t.find(key, endpoint, weights)
	if h == nil || h.read {
		return
	}
	h.read = true
	t.tell(news{key, endpoint, weights, true})
}

func (t *partTable) tell(n news) {
	if len(t.fresh) < maxNews {
		t.fresh = append(t.fresh, n)
	}
}

// used notes that a request with the part was sent to the endpoint and reports
// whether the endpoint was not known to hold it.
func (t *partTable) used(key uint64, endpoint string, weights uint64, now time.Duration) bool {
	list := t.holders[key]
	oldest := 0
	for i, h := range list {
		if h.endpoint == endpoint {
			changed := h.weights != weights
			if changed {
				list[i].read = false
			}
			list[i].weights, list[i].used, list[i].tokens = weights, now, wholePart
			return changed
		}
		if h.used < list[oldest].used {
			oldest = i
		}
	}
	h := holder{endpoint: endpoint, weights: weights, used: now, tokens: wholePart}
	if len(list) >= holdersPerPart {
		list[oldest] = h
		return true
	}
	if len(list) == 0 && len(t.holders) >= t.max {
		t.evict(now)
	}
	t.holders[key] = append(list, h)
	return true
}

// evict drops an arbitrary tenth of the table; entries in use come back with
// their next request.
func (t *partTable) evict(time.Duration) {
	n := max(1, t.max/10)
	for key := range t.holders {
		if n--; n < 0 {
			return
		}
		delete(t.holders, key)
	}
}

// event takes the engine's own word for what it holds of a part. It names also parts
// that this router has not seen yet, such as after its start.
func (t *partTable) event(now time.Duration, key uint64, endpoint string, weights uint64, tokens int) {
	list := t.holders[key]
	for i := range list {
		if list[i].endpoint != endpoint || list[i].weights > weights || endpoint == StoreID && list[i].weights != weights {
			continue
		}
		if tokens == 0 {
			if !list[i].read {
				return // The part is being read again.
			}
			t.remove(key, i)
			return
		}
		list[i].tokens, list[i].weights, list[i].read, list[i].used = tokens, weights, true, now
		return
	}
	if tokens == 0 || len(list) >= holdersPerPart {
		return
	}
	if len(list) == 0 && len(t.holders) >= t.max {
		t.evict(now)
	}
	t.holders[key] = append(list, holder{endpoint: endpoint, weights: weights, used: now, read: true, tokens: tokens})
}

// remove forgets one holder of a part.
func (t *partTable) remove(key uint64, i int) {
	list := t.holders[key]
	list = append(list[:i], list[i+1:]...)
	if len(list) == 0 {
		delete(t.holders, key)
		return
	}
	t.holders[key] = list
}

// dropOlder forgets what an endpoint held under weights before the version.
func (t *partTable) dropOlder(endpoint string, version uint64) {
	for key, list := range t.holders {
		for i := range list {
			if list[i].endpoint == endpoint && list[i].weights < version {
				t.remove(key, i)
				break // An endpoint is in a list once.
			}
		}
	}
}

func (t *partTable) drop(endpoint string) {
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

// Package strikes recognises requests that crash the endpoints that run them.
// A request earns a strike for each endpoint whose connection broke while it
// ran there; after three endpoints it is refused for some time. Routers exchange
// their strikes. It is a pure state machine and not safe for concurrent use.
package strikes

import "time"

const (
	// limit is the number of endpoints after which a request is refused. With two,
	// up to 29 of 8,000 requests were refused on days on which a third of the
	// endpoints crashes every few seconds.
	limit = 3
	// life is how long strikes count. A crashed endpoint is back after some
	// seconds, and callers who repeat such a request do it within a minute.
	life = 60 * time.Second
	// maxEntries bounds the table.
	maxEntries = 4096
	// repeats is the number of exchanges that carry a new strike.
	repeats = 8
)

// Strike says that an endpoint's connection broke under a request.
type Strike struct {
	// Fingerprint identifies the request by path, caller and body.
	Fingerprint uint64
	Endpoint    string
	Age         time.Duration
}

type entry struct {
	endpoints map[string]time.Duration
	sends     int
}

// Table holds the strikes that are known.
type Table struct {
	entries map[uint64]*entry
}

// New returns an empty table.
func New() *Table { return &Table{entries: map[uint64]*entry{}} }

// Add records a strike and reports whether it is new.
func (t *Table) Add(now time.Duration, s Strike) bool {
	at := now - s.Age
	if s.Age < 0 || s.Age >= life {
		return false
	}
	e := t.entries[s.Fingerprint]
	if e == nil {
		if len(t.entries) >= maxEntries {
			t.expire(now)
		}
		if len(t.entries) >= maxEntries {
			return false
		}
		e = &entry{endpoints: map[string]time.Duration{}}
		t.entries[s.Fingerprint] = e
	}
	if old, ok := e.endpoints[s.Endpoint]; ok {
		e.endpoints[s.Endpoint] = max(old, at)
		return false
	}
	e.endpoints[s.Endpoint] = at
	e.sends = repeats
	return true
}

// Refused reports whether a request has crashed too many endpoints.
func (t *Table) Refused(now time.Duration, fingerprint uint64) bool {
	e := t.entries[fingerprint]
	if e == nil {
		return false
	}
	n := 0
	for _, at := range e.endpoints {
		if now-at < life {
			n++
		}
	}
	return n >= limit
}

// Completed forgets a request that ran to its end.
func (t *Table) Completed(fingerprint uint64) { delete(t.entries, fingerprint) }

// Outgoing returns at most most strikes that other routers may not know yet.
func (t *Table) Outgoing(now time.Duration, most int) []Strike {
	var out []Strike
	for f, e := range t.entries {
		if e.sends == 0 {
			continue
		}
		if len(out)+len(e.endpoints) > most {
			break
		}
		e.sends--
		for endpoint, at := range e.endpoints {
			out = append(out, Strike{f, endpoint, now - at})
		}
	}
	return out
}

func (t *Table) expire(now time.Duration) {
	for f, e := range t.entries {
		for endpoint, at := range e.endpoints {
			if now-at >= life {
				delete(e.endpoints, endpoint)
			}
		}
		if len(e.endpoints) == 0 {
			delete(t.entries, f)
		}
	}
}

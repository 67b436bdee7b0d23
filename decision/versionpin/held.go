package versionpin

import "time"

// maxRecordsPerMessage bounds a message with records to about 12 kB.
const maxRecordsPerMessage = 1000

// Cursor is a place in the sequence of records of a process.
type Cursor struct {
	Incarnation uint64
	// Position is the number of records before the cursor.
	Position uint64
}

// Since returns encoded records that were added after a cursor, the oldest first and not more
// than fit into a message, and the cursor after them. It returns all from the beginning if the
// cursor is one of another process, and nil if there are none.
func (r *Records) Since(c Cursor) ([]byte, Cursor, error) {
	first, end := r.dropped, r.dropped+uint64(len(r.added))
	if c.Incarnation != r.incarnation || c.Position > end {
		c.Position = first
	}
	from := max(c.Position, first)
	to := min(end, from+maxRecordsPerMessage)
	next := Cursor{Incarnation: r.incarnation, Position: to}
	if from == to {
		return nil, next, nil
	}
	encoded, err := r.encode(r.added[from-first : to-first])
	return encoded, next, err
}

// Held are the records that a router holds for others, whose streams can then go on if they die
// before the store has their records, or if the store loses them. It is not safe for concurrent
// use.
type Held struct {
	routers map[string]*heldRecords
}

type heldRecords struct {
	records *Records
	cursor  Cursor
}

// NewHeld returns a Held without records.
func NewHeld() *Held { return &Held{routers: map[string]*heldRecords{}} }

// Cursor returns up to where the records of a router are held.
func (h *Held) Cursor(router string) Cursor {
	if held := h.routers[router]; held != nil {
		return held.cursor
	}
	return Cursor{}
}

// Take holds encoded records of a router until a time, and with them those up to a cursor. If
// they are of another process than those before, it returns these, which the router may have
// lost. Take fails with ErrInvalidRecords.
func (h *Held) Take(router string, encoded []byte, c Cursor, expiresAt time.Duration) (earlier *Records, err error) {
	held := h.routers[router]
	if held == nil || held.cursor.Incarnation != c.Incarnation {
		earlier = h.Release(router)
		held = &heldRecords{records: NewRecords()}
		h.routers[router] = held
	}
	if len(encoded) > 0 {
		if err := held.records.Merge(encoded, expiresAt); err != nil {
			return earlier, err
		}
	}
	held.cursor = c
	return earlier, nil
}

// Release returns the records that are held for a router, or nil, and holds them no more.
func (h *Held) Release(router string) *Records {
	held := h.routers[router]
	delete(h.routers, router)
	if held == nil {
		return nil
	}
	return held.records
}

// Version returns the version that held records tell of a stream, as Records.Version does.
func (h *Held) Version(stream uint64) (version string, recorded bool) {
	found := NewRecords()
	for _, held := range h.routers {
		if e, ok := held.records.streams[stream]; ok {
			found.Add(stream, e.version, e.expiresAt)
		}
	}
	return found.Version(stream)
}

// Expire drops the records whose time has passed.
func (h *Held) Expire(now time.Duration) {
	for _, held := range h.routers {
		held.records.Expire(now)
	}
}

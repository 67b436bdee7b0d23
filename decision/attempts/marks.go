package attempts

import (
	"strconv"
	"strings"
)

// ID is a parsed attempt ID: <incarnation>-<counter>[@<endpoint>]/<number>.
type ID struct {
	// RequestID is the ID without the attempt number.
	RequestID string
	// RouterIncarnation and Counter are the incarnation of the router that received
	// the request and the router's counter of requests.
	RouterIncarnation, Counter uint64
	Number                     int
}

// ParseID parses an attempt ID. It returns false when the ID has another form.
func ParseID(id string) (ID, bool) {
	request, number, ok := strings.Cut(id, "/")
	if !ok {
		return ID{}, false
	}
	incarnationAndCounter, _, _ := strings.Cut(request, "@")
	router, counter, ok := strings.Cut(incarnationAndCounter, "-")
	if !ok {
		return ID{}, false
	}
	routerIncarnation, err1 := strconv.ParseUint(router, 36, 64)
	requestCounter, err2 := strconv.ParseUint(counter, 36, 64)
	n, err3 := strconv.Atoi(number)
	return ID{request, routerIncarnation, requestCounter, n}, err1 == nil && err2 == nil && err3 == nil
}

type runStatus uint8

const (
	statusUnrecorded runStatus = iota
	// statusFenced means that the attempt was reported as not run and must never run.
	statusFenced
	// statusMayHaveRun means that the attempt ran or may have run.
	statusMayHaveRun
)

// maxRouterWatermarks bounds the entries of runHistory.highestDropped.
const maxRouterWatermarks = 4096

// runHistory records which attempts may have run and which are fenced. When it is
// full, the oldest record is dropped. Every unrecorded attempt of the same router
// incarnation whose counter is not above that of the dropped record then counts as an
// attempt that may have run.
type runHistory struct {
	limit       int
	statuses    map[string]runStatus
	oldestFirst []string
	// highestDropped is the highest counter of a dropped record by router
	// incarnation.
	highestDropped map[uint64]uint64
	// highestDroppedRouter is the highest router incarnation removed from
	// highestDropped. Unrecorded attempts of all incarnations up to it count as
	// attempts that may have run.
	highestDroppedRouter uint64
	// droppedUnparsable is true once a record was dropped whose ID can't be parsed.
	droppedUnparsable bool
}

func newRunHistory(limit int) runHistory {
	return runHistory{limit: limit, statuses: map[string]runStatus{}, highestDropped: map[uint64]uint64{}}
}

func (h *runHistory) status(id string) runStatus {
	if status, ok := h.statuses[id]; ok {
		return status
	}
	parsed, ok := ParseID(id)
	if !ok {
		if h.droppedUnparsable {
			return statusMayHaveRun
		}
		return statusUnrecorded
	}
	highest, found := h.highestDropped[parsed.RouterIncarnation]
	if parsed.RouterIncarnation <= h.highestDroppedRouter || found && parsed.Counter <= highest {
		return statusMayHaveRun
	}
	return statusUnrecorded
}

// fenced reports whether the history has a fence for exactly this ID.
func (h *runHistory) fenced(id string) bool { return h.statuses[id] == statusFenced }

func (h *runHistory) set(id string, status runStatus) {
	if _, ok := h.statuses[id]; !ok {
		h.oldestFirst = append(h.oldestFirst, id)
	}
	h.statuses[id] = status
	for len(h.oldestFirst) > h.limit {
		h.drop(h.oldestFirst[0])
		h.oldestFirst = h.oldestFirst[1:]
	}
}

func (h *runHistory) drop(id string) {
	delete(h.statuses, id)
	parsed, ok := ParseID(id)
	if !ok {
		h.droppedUnparsable = true
		return
	}
	h.highestDropped[parsed.RouterIncarnation] = max(h.highestDropped[parsed.RouterIncarnation], parsed.Counter)
	if len(h.highestDropped) <= maxRouterWatermarks {
		return
	}
	oldest := parsed.RouterIncarnation
	for router := range h.highestDropped {
		oldest = min(oldest, router)
	}
	delete(h.highestDropped, oldest)
	h.highestDroppedRouter = max(h.highestDroppedRouter, oldest)
}

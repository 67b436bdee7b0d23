package attempts

import (
	"strconv"
	"strings"
)

// ID is a parsed attempt id: <incarnation>-<counter>[@<endpoint>]/<n>.
type ID struct {
	// Request is the id without the attempt number.
	RequestID string
	// Router and Counter are the two parts that the router chose.
	RouterIncarnation, Counter uint64
	Number                     int
}

// ParseID parses an attempt id and returns false when it has another form.
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
	// markNotRun means fenced: reported as not run, and never to run.
	statusFenced
	// markRan means that the attempt ran or may have run.
	statusMayHaveRun
)

// maxRouters bounds the router incarnations with a watermark of their own.
const maxRouterWatermarks = 4096

// marks remembers the ends of attempts. When it is full the oldest mark is
// forgotten, and every unmarked attempt of that router incarnation with a
// counter up to the forgotten one counts as one that may have run.
type runHistory struct {
	limit       int
	statuses    map[string]runStatus
	oldestFirst []string
	// forgotten is the highest forgotten counter of a router incarnation.
	highestForgotten map[uint64]uint64
	// oldRouters covers all incarnations up to it.
	forgottenRouters uint64
	// all is true once a mark was forgotten whose id can't be parsed.
	forgotUnparsable bool
}

func newRunHistory(limit int) runHistory {
	return runHistory{limit: limit, statuses: map[string]runStatus{}, highestForgotten: map[uint64]uint64{}}
}

func (h *runHistory) status(id string) runStatus {
	if status, ok := h.statuses[id]; ok {
		return status
	}
	p, ok := ParseID(id)
	if !ok {
		if h.forgotUnparsable {
			return statusMayHaveRun
		}
		return statusUnrecorded
	}
	highest, found := h.highestForgotten[p.RouterIncarnation]
	if p.RouterIncarnation <= h.forgottenRouters || found && p.Counter <= highest {
		return statusMayHaveRun
	}
	return statusUnrecorded
}

// fenced reports whether the id itself was fenced.
func (h *runHistory) fenced(id string) bool { return h.statuses[id] == statusFenced }

func (h *runHistory) set(id string, status runStatus) {
	if _, ok := h.statuses[id]; !ok {
		h.oldestFirst = append(h.oldestFirst, id)
	}
	h.statuses[id] = status
	for len(h.oldestFirst) > h.limit {
		h.forget(h.oldestFirst[0])
		h.oldestFirst = h.oldestFirst[1:]
	}
}

func (h *runHistory) forget(id string) {
	delete(h.statuses, id)
	p, ok := ParseID(id)
	if !ok {
		h.forgotUnparsable = true
		return
	}
	h.highestForgotten[p.RouterIncarnation] = max(h.highestForgotten[p.RouterIncarnation], p.Counter)
	if len(h.highestForgotten) <= maxRouterWatermarks {
		return
	}
	oldest := p.RouterIncarnation
	for router := range h.highestForgotten {
		oldest = min(oldest, router)
	}
	delete(h.highestForgotten, oldest)
	h.forgottenRouters = max(h.forgottenRouters, oldest)
}

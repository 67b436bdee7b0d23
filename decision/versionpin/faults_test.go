package versionpin

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// faultRates are the mean numbers of ticks between two faults, 0 for none. After a change of
// the table a router is killed once in killAfterChange changes, all routers once in
// killAllAfterChange changes, and on a restore one or all routers if killOnRestore is true.
type faultRates struct {
	killAll, killOne, pause, release, restore, storeDown int
	killAfterChange, killAllAfterChange                  int
	killOnRestore                                        bool
	// longStreams lets streams last nearly as long as callers wait, so that they outlive moves.
	longStreams bool
	// loseStore and cutOff keep one router alone from the store and from the others, and
	// breakStream breaks a stream that has begun.
	loseStore, cutOff, breakStream int
	// changeTimeout changes the timeout of the route, or its resumability, and longDeadline is the
	// mean number of streams between two whose callers wait for longDeadline.
	changeTimeout, longDeadline int
}

// longDeadline is the deadline of callers that wait longer than any timeout of the route.
const longDeadline = 25 * time.Second

func (w *world) kill(r *simRouter, downtime time.Duration) {
	r.alive, r.startsAt = false, w.now+downtime
}

func (w *world) happens(meanTicks int) bool { return meanTicks > 0 && w.rng.IntN(meanTicks) == 0 }

func (w *world) injectFaults(f faultRates) {
	if w.happens(f.killAll) || w.killAllAt > 0 && w.now >= w.killAllAt {
		w.killAllAt = 0
		for _, r := range w.routers {
			w.kill(r, time.Duration(500+w.rng.IntN(2000))*time.Millisecond)
		}
	}
	if w.happens(f.killOne) {
		w.kill(w.routers[w.rng.IntN(len(w.routers))], time.Duration(200+w.rng.IntN(2000))*time.Millisecond)
	}
	if w.killAt > 0 && w.now >= w.killAt {
		w.killAt = 0
		w.kill(w.routers[w.rng.IntN(len(w.routers))], time.Second)
	}
	if w.happens(f.pause) {
		r := w.routers[w.rng.IntN(len(w.routers))]
		r.seesAt = w.now + time.Second + time.Duration(w.rng.IntN(3500))*time.Millisecond
	}
	if w.happens(f.loseStore) {
		w.routers[w.rng.IntN(len(w.routers))].storeLostTill = w.now + time.Duration(w.rng.IntN(6000))*time.Millisecond
	}
	if w.happens(f.cutOff) {
		w.routers[w.rng.IntN(len(w.routers))].cutTill = w.now + time.Duration(w.rng.IntN(6000))*time.Millisecond
	}
	if w.happens(f.changeTimeout) {
		w.timeout = []time.Duration{0, 2 * time.Second, 8 * time.Second, lifetime, lifetime}[w.rng.IntN(5)]
		w.rewriteAt = w.now
	}
	if w.now >= max(w.rewriteAt, w.downTill) && w.store.timeout != w.timeout {
		w.store.position.Revision++
		w.store.timeout, w.store.timeoutAt = w.timeout, w.store.position
	}
	if w.happens(f.release) && w.release == "" {
		w.releases++
		w.release = fmt.Sprintf("v%d", w.releases)
		w.moveEvery = []time.Duration{tick, 100 * time.Millisecond, 400 * time.Millisecond}[w.rng.IntN(3)]
	}
	if w.release != "" && w.now%w.moveEvery < tick {
		w.moveEndpoint()
	}
	if w.happens(f.restore / 2) {
		w.copied = w.store.clone()
	}
	if w.happens(f.restore) {
		position := w.store.position
		w.store = w.copied.clone()
		w.store.position.Era = position.Era + 1
		w.downTill = w.now + time.Duration(w.rng.IntN(1500))*time.Millisecond
		if f.changeTimeout > 0 {
			w.rewriteAt = w.now + time.Duration(w.rng.IntN(3000))*time.Millisecond
		}
		w.store.timeoutAt.Era = w.store.position.Era
		for i, r := range w.routers {
			if f.killOnRestore && (i == 0 || position.Revision%3 == 0) {
				w.kill(r, time.Duration(w.rng.IntN(300))*time.Millisecond)
			}
		}
	}
	if w.happens(f.storeDown) {
		w.downTill = w.now + time.Duration(w.rng.IntN(4000))*time.Millisecond
	}
}

// moveEndpoint replaces an endpoint by one of the new version. Half of the releases stop in
// the middle, so that two versions serve side by side.
func (w *world) moveEndpoint() {
	stop := w.releases%2 == 0 && w.endpoints[w.release] >= 9
	for _, v := range slices.Sorted(maps.Keys(w.endpoints)) {
		if v != w.release && w.endpoints[v] > 0 && !stop {
			w.endpoints[v]--
			w.endpoints[w.release]++
			return
		}
	}
	w.release = ""
}

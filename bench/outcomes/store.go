package outcomes

import (
	"slices"
	"strings"
	"time"

	"github.com/arbutusline/arbutusline/objectstore"
)

// storeName is the name of the store in network.disconnectedPairs.
const storeName = "store"

// fakeStore is an object store in virtual time.
type fakeStore struct {
	sim             *simulator
	network         *network
	objects         map[string]objectstore.Object
	lastVersion     uint64
	outage          bool
	maxExtraLatency time.Duration
	// responseLossRate is the share of writes whose response is lost. Half of these
	// writes are applied at once, a quarter later and a quarter never.
	responseLossRate float64
	writes           int
	reads            int
	writtenBytes     int
}

// latency returns a random response time.
func (s *fakeStore) latency() time.Duration {
	d := s.sim.randomDuration(3*time.Millisecond, 8*time.Millisecond)
	if s.maxExtraLatency > 0 {
		d += s.sim.randomDuration(0, s.maxExtraLatency)
	}
	return d
}

func (s *fakeStore) get(p *process, key string, onResult func(objectstore.Object, error)) {
	s.call(p, func() func() {
		s.reads++
		o, ok := s.objects[key]
		return func() {
			if !ok {
				onResult(o, objectstore.ErrNotFound)
				return
			}
			onResult(o, nil)
		}
	}, func() { onResult(objectstore.Object{}, objectstore.ErrUnavailable) })
}

// call runs execute at the store and then the function that execute returned in the
// process, or onFailure if the store cannot be reached.
func (s *fakeStore) call(p *process, execute func() func(), onFailure func()) {
	halfLatency := s.latency() / 2
	s.sim.scheduleAfter(halfLatency, func() {
		if s.outage || s.network.disconnected(p.name, storeName) {
			p.runAfter(halfLatency, onFailure)
			return
		}
		respond := execute()
		p.runAfter(halfLatency, respond)
	})
}

func (s *fakeStore) list(p *process, prefix string, onResult func([]string, error)) {
	s.call(p, func() func() {
		s.reads++
		var keys []string
		for key := range s.objects {
			if strings.HasPrefix(key, prefix) {
				keys = append(keys, key)
			}
		}
		slices.Sort(keys)
		return func() { onResult(keys, nil) }
	}, func() { onResult(nil, objectstore.ErrUnavailable) })
}

// apply writes the object if its version is expectedVersion; 0 means that the object
// must not exist.
func (s *fakeStore) apply(key string, value []byte, expectedVersion uint64) (uint64, error) {
	s.writes++
	s.writtenBytes += len(value)
	if s.objects[key].Version != expectedVersion {
		return 0, objectstore.ErrConflict
	}
	s.lastVersion++
	s.objects[key] = objectstore.Object{Key: key, Value: value, Version: s.lastVersion}
	return s.lastVersion, nil
}

func (s *fakeStore) put(p *process, key string, value []byte, expectedVersion uint64, onResult func(uint64, error)) {
	responseLost := s.responseLossRate > 0 && s.sim.randomBool(s.responseLossRate)
	s.call(p, func() func() {
		if !responseLost {
			v, err := s.apply(key, value, expectedVersion)
			return func() { onResult(v, err) }
		}
		switch s.sim.rng.IntN(4) {
		case 0, 1:
			_, _ = s.apply(key, value, expectedVersion)
		case 2:
			s.sim.scheduleAfter(s.sim.randomDuration(0, 3*time.Second), func() { _, _ = s.apply(key, value, expectedVersion) })
		}
		return func() { onResult(0, objectstore.ErrAmbiguous) }
	}, func() { onResult(0, objectstore.ErrUnavailable) })
}

// remove deletes the object if its version is expectedVersion, or any version if
// expectedVersion is 0.
func (s *fakeStore) remove(p *process, key string, expectedVersion uint64) {
	s.call(p, func() func() {
		if o, ok := s.objects[key]; ok && (expectedVersion == 0 || o.Version == expectedVersion) {
			delete(s.objects, key)
		}
		return func() {}
	}, func() {})
}

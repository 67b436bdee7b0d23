package outcomes

import (
	"slices"
	"strings"
	"time"

	"github.com/arbutusline/arbutusline/objectstore"
)

// storeName is the name by which the network disconnects processes from the store.
const storeName = "store"

// fakeStore is an object store in virtual time.
type fakeStore struct {
	sim             *simulator
	network         *network
	objects         map[string]objectstore.Object
	version         uint64
	unavailable     bool
	maxExtraLatency time.Duration
	// lostAnswerProbability is the share of writes whose answer is lost. Half of these
	// writes are applied at once, a quarter later and a quarter never.
	lostAnswerProbability float64
	writes                int
	reads                 int
	writtenBytes          int
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
	s.roundTrip(p, func() func() {
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

// roundTrip runs op at the store and then the function that op returned in the
// process, or onUnavailable if the store can't be reached.
func (s *fakeStore) roundTrip(p *process, op func() func(), onUnavailable func()) {
	halfLatency := s.latency() / 2
	s.sim.scheduleAfter(halfLatency, func() {
		if s.unavailable || s.network.disconnected(p.name, storeName) {
			p.runAfter(halfLatency, onUnavailable)
			return
		}
		respond := op()
		p.runAfter(halfLatency, respond)
	})
}

func (s *fakeStore) list(p *process, prefix string, onResult func([]string, error)) {
	s.roundTrip(p, func() func() {
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

// apply writes the object if its version is expect; 0 means that it must not exist.
func (s *fakeStore) apply(key string, value []byte, expect uint64) (uint64, error) {
	s.writes++
	s.writtenBytes += len(value)
	if s.objects[key].Version != expect {
		return 0, objectstore.ErrConflict
	}
	s.version++
	s.objects[key] = objectstore.Object{Key: key, Value: value, Version: s.version}
	return s.version, nil
}

func (s *fakeStore) put(p *process, key string, value []byte, expect uint64, onResult func(uint64, error)) {
	answerLost := s.lostAnswerProbability > 0 && s.sim.randomBool(s.lostAnswerProbability)
	s.roundTrip(p, func() func() {
		if !answerLost {
			v, err := s.apply(key, value, expect)
			return func() { onResult(v, err) }
		}
		switch s.sim.rng.IntN(4) {
		case 0, 1:
			_, _ = s.apply(key, value, expect)
		case 2:
			s.sim.scheduleAfter(s.sim.randomDuration(0, 3*time.Second), func() { _, _ = s.apply(key, value, expect) })
		}
		return func() { onResult(0, objectstore.ErrAmbiguous) }
	}, func() { onResult(0, objectstore.ErrUnavailable) })
}

// remove deletes the object if its version is expect, or any version if expect is 0.
func (s *fakeStore) remove(p *process, key string, expect uint64) {
	s.roundTrip(p, func() func() {
		if o, ok := s.objects[key]; ok && (expect == 0 || o.Version == expect) {
			delete(s.objects, key)
		}
		return func() {}
	}, func() {})
}

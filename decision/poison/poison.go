// Package poison finds the prompt parts that crash every engine that begins to answer a
// prompt with them (poison pills), and refuses further requests with such a part. Requests
// with a poison pill are otherwise unlike each other, so their fingerprints are of no use.
// Sound requests share callers and all other parts with them, and engines also crash for
// other reasons.
//
// The evidence against a part are crashes of engines that had an attempt with the part and
// without output. If one of these attempts had begun its answer, only the parts of such
// attempts count. An attempt with output proves that engines do not crash on its parts before
// that: only crashes after the last proof count, and parts in frequent use are thus cleared all
// the time. Crashes at about the same time count once, because many engines may crash at once
// for a common reason. A part is condemned after three such moments if it was never seen sound
// and took part in at least two of three known crashes since its first, else after up to five.
// Against a part that was seen sound, only crashes of begun answers count.
//
// An engine may also send some output before it crashes on a part. So crashes of engines that
// had an attempt with the part whose output had begun less than ProvingTime before count, too,
// until a longer run or a complete answer proves the part sound. Sound runs break off like that
// at any crash, so that at least five crashes are needed with them, at five moments unless the part
// took part in at least half of all known crashes.
//
// A crash of a condemned part may be explained by another condemned part that took part in
// it and in more crashes, or that unlike it was never seen sound. A part whose crashes are
// all explained is not refused.
// Parts that always occurred together cannot be told apart: a request is refused if it has
// all of them, so that requests with some of them show which is sound.
//
// Routers exchange their records, which can be merged in any order and more than once. A
// condemned part is tested until two tests failed, at a growing interval, each time by one
// request of one router; it is cleared by a sound run or when no more requests with it come.
//
// Table is a pure state machine and not safe for concurrent use.
package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minCrashMoments and maxCrashMoments bound the number of moments of crashes after
	// which a part is condemned. Less than three are common without a poison pill, and
	// after the fifth crash almost no request with the part may reach an engine.
	minCrashMoments = 3
	maxCrashMoments = 5
	// crashMoment is the time within which crashes of different engines count once. Five
	// moments fit into the time within which all routers must refuse the part.
	crashMoment = 300 * time.Millisecond
	// crashMergeWindow is the largest difference between reports of one crash of an
	// endpoint. Engines take longer than that to restart.
	crashMergeWindow = 2 * time.Second
	// evidenceTTL is how long a crash counts, and how long the clearance of a part is
	// remembered.
	evidenceTTL = 3 * time.Minute
	// condemnedTTL is how long a part stays condemned after the last request with it.
	condemnedTTL = 10 * time.Minute
	// maxCrashesPerPart bounds the recorded crashes of a part.
	maxCrashesPerPart = 64
	// maxRecentCrashes bounds the recorded crashes of all parts together.
	maxRecentCrashes = 256
	// defaultMaxParts is the default of Config.MaxParts.
	defaultMaxParts = 4096
)

// Config holds the parameters of a Table.
type Config struct {
	// MaxParts bounds the table. The least incriminated part that changed least recently
	// is evicted first. Default 4096.
	MaxParts int
}

// Verdict is the decision about a request.
type Verdict uint8

// Verdicts.
const (
	// Allow means that no part of the request is condemned.
	Allow Verdict = iota
	// Refuse means that the request must not be sent to an engine.
	Refuse
	// Test means that the request may be sent to an engine as the test of its condemned
	// parts.
	Test
)

// ChangeKind is how the state of a part changed.
type ChangeKind uint8

// Kinds of changes.
const (
	// Condemned means that requests with the part are refused from now on.
	Condemned ChangeKind = iota + 1
	// Cleared means that a condemned part was found sound.
	Cleared
	// Explained means that the crashes of a condemned part are attributed to another part.
	Explained
)

// Change is a change of the state of a part, for logs.
type Change struct {
	Part uint64
	Kind ChangeKind
	// Crashes is the number of crashes that count against the part, and Moments the
	// number of moments at which they happened.
	Crashes, Moments int
	// OtherCrashes is the number of known crashes without the part since its first.
	OtherCrashes int
	// Tests is the number of tests started since the part was condemned.
	Tests int
}

// entry is what is known of a part.
type entry struct {
	// output and sound are about the runs with the proofs ProvesOutput, or any, and ProvesSound.
	output, sound clearance
	// crashes are those since the last run with output and, if they came after output, since the
	// last sound run, oldest first.
	crashes []crash

	condemned   bool
	condemnedAt time.Duration
	// explained means that the crashes of the condemned part are attributed to another.
	explained bool
	// companions are the other condemned parts with the same crashes.
	companions []uint64
	// tests is the number of tests started since condemnedAt and testedAt the start of the
	// last.
	tests    int
	testedAt time.Duration
	// requestedAt is the time of the last refused request at this router.
	requestedAt time.Duration

	rank rankCache

	changedAt time.Duration
	sentAt    time.Duration
	sendsLeft int
}

func (e *entry) refused() bool { return e.condemned && !e.explained }

// seenSound reports whether any router saw a run with the part that had output or, after output,
// that proved the part sound.
func (e *entry) seenSound(afterOutput bool) bool {
	if afterOutput {
		return e.sound.generation > 0
	}
	return e.output.generation > 0
}

func (e *entry) crashedAfterOutput() bool {
	return slices.ContainsFunc(e.crashes, func(c crash) bool { return c.after })
}

func (e *entry) crashedBeforeOutput() bool {
	return slices.ContainsFunc(e.crashes, func(c crash) bool { return c.before })
}

// Table holds the evidence of all routers. Parts are given by keys; the last part of a
// prompt belongs to the request or its session and must not be among them.
type Table struct {
	cfg     Config
	entries map[uint64]*entry
	// condemned holds the condemned parts, explained ones too.
	condemned map[uint64]*entry
	// unexplained means that condemned parts or their crashes changed since explain ran.
	unexplained bool
	// unsent holds the parts with sendsLeft.
	unsent map[uint64]*entry
	// recent are the known crashes, oldest first.
	recent []crash
	// sound and olderSound map parts to their last runs with output at this router. When sound
	// is full it becomes olderSound.
	sound, olderSound map[uint64]ownRuns
	// ranks is nil before the first call of SetRouters, and routersSince is the time since
	// which it is the same.
	ranks        *ranking
	routersSince time.Duration
}

// never is before every time of a table.
const never = time.Duration(-1 << 62)

// New returns an empty table.
func New(cfg Config) *Table {
	cfg.MaxParts = cmp.Or(cfg.MaxParts, defaultMaxParts)
	return &Table{
		cfg: cfg, entries: map[uint64]*entry{}, condemned: map[uint64]*entry{}, unsent: map[uint64]*entry{},
		sound: map[uint64]ownRuns{},
	}
}

// Len returns the number of parts in the table.
func (t *Table) Len() int { return len(t.entries) }

// ObserveCrash records that an endpoint crashed while an attempt with the parts had produced
// no output. It is called once for each such attempt. Begun means that the attempt had begun
// its answer, as by sending the head of its response.
func (t *Table) ObserveCrash(now time.Duration, endpoint string, parts []uint64, begun bool) []Change {
	return t.observeCrash(now, crash{hashString(endpoint), now, evidence{before: true, begun: begun}}, parts)
}

// ObserveCrashAfterOutput records that an endpoint crashed while an attempt with the parts had
// produced output and proved nothing yet. It is called once for each such attempt.
func (t *Table) ObserveCrashAfterOutput(now time.Duration, endpoint string, parts []uint64) []Change {
	return t.observeCrash(now, crash{hashString(endpoint), now, evidence{after: true}}, parts)
}

func (t *Table) observeCrash(now time.Duration, c crash, parts []uint64) []Change {
	t.addRecent(now, c)
	var touched []uint64
	for _, part := range parts {
		e := t.entry(now, part)
		if e.addCrash(now, c) {
			t.markChanged(now, part, e)
			touched = append(touched, part)
		}
	}
	return t.judge(now, touched, nil)
}

// entry returns the entry of a part and adds it if there is none.
func (t *Table) entry(now time.Duration, part uint64) *entry {
	e := t.entries[part]
	if e == nil {
		if len(t.entries) >= t.cfg.MaxParts {
			t.evict()
		}
		e = &entry{testedAt: never, requestedAt: never, sentAt: never, changedAt: now}
		t.entries[part] = e
		runs := t.lastRuns(part)
		e.output, e.sound = clearanceOf(runs.output), clearanceOf(runs.sound)
		if e.output.generation > 0 {
			t.markChanged(now, part, e)
		}
	}
	return e
}

// evict removes the least incriminated part that changed least recently.
func (t *Table) evict() {
	var evicted uint64
	var least *entry
	for part, e := range t.entries {
		if least == nil || cmp.Or(compareGuilt(e, least), cmp.Compare(e.changedAt, least.changedAt), cmp.Compare(part, evicted)) < 0 {
			evicted, least = part, e
		}
	}
	t.remove(evicted)
}

func (t *Table) remove(part uint64) {
	if t.condemned[part] != nil {
		delete(t.condemned, part)
		t.unexplained = true
	}
	delete(t.entries, part)
	delete(t.unsent, part)
}

// compareGuilt orders parts by the evidence against them, the least first.
func compareGuilt(a, b *entry) int {
	if a.condemned != b.condemned {
		if b.condemned {
			return -1
		}
		return 1
	}
	return cmp.Compare(moments(a.crashes), moments(b.crashes))
}

// addCrash records a crash and reports whether it says something new.
func (e *entry) addCrash(now time.Duration, c crash) bool {
	c.evidence = c.since(c.at, e.output, e.sound)
	if c.evidence == (evidence{}) {
		return false
	}
	// The crashes of a condemned part stay: they are the results of its tests.
	if !e.condemned {
		if now-c.at >= evidenceTTL {
			return false
		}
		e.removeExpired(now)
	}
	var added bool
	e.crashes, added = insertCrash(e.crashes, c)
	if len(e.crashes) > maxCrashesPerPart {
		e.crashes = slices.Delete(e.crashes, 0, 1)
	}
	return added
}

func (e *entry) removeExpired(now time.Duration) {
	e.crashes = slices.DeleteFunc(e.crashes, func(c crash) bool { return now-c.at >= evidenceTTL })
}

// addRecent records a crash whatever its parts.
func (t *Table) addRecent(now time.Duration, c crash) {
	if now-c.at >= evidenceTTL {
		return
	}
	t.recent, _ = insertCrash(t.recent, c)
	if len(t.recent) > maxRecentCrashes {
		t.recent = slices.Delete(t.recent, 0, 1)
	}
}

func (t *Table) change(part uint64, e *entry, kind ChangeKind) Change {
	return Change{Part: part, Kind: kind, Crashes: len(e.crashes), Moments: moments(e.crashes), OtherCrashes: t.otherCrashes(e.crashes), Tests: e.tests}
}

// Decide returns whether a request with the parts may be sent to an engine, and the
// condemned part if there is one. It changes nothing but the time of the last request.
func (t *Table) Decide(now time.Duration, parts []uint64) (Verdict, uint64) {
	verdict, culprit := Allow, uint64(0)
	for _, part := range parts {
		e := t.entries[part]
		if e == nil || !e.refused() || !containsParts(parts, e.companions) {
			continue
		}
		e.requestedAt = now
		if verdict == Allow || part < culprit {
			culprit = part
		}
		verdict = Refuse
	}
	if verdict == Refuse && t.mayTest(now, parts, culprit) {
		verdict = Test
	}
	return verdict, culprit
}

func containsParts(parts, wanted []uint64) bool {
	for _, part := range wanted {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return true
}

// Begin decides like Decide, immediately before the request is sent to an engine. If it
// returns Test, it has counted the test, and the request must be sent.
func (t *Table) Begin(now time.Duration, parts []uint64) (Verdict, uint64) {
	verdict, culprit := t.Decide(now, parts)
	if verdict != Test {
		return verdict, culprit
	}
	for _, part := range parts {
		if e := t.entries[part]; e != nil && e.refused() {
			e.tests++
			e.testedAt = now
			t.markChanged(now, part, e)
		}
	}
	return verdict, culprit
}

// Tick removes what has expired. It is called about once a second.
func (t *Table) Tick(now time.Duration) []Change {
	var changes []Change
	for part, e := range t.entries {
		if e.condemned {
			if !e.alive(now) {
				changes = append(changes, t.change(part, e, Cleared))
				t.remove(part)
			}
			continue
		}
		e.removeExpired(now)
		if len(e.crashes) == 0 && now-e.changedAt >= evidenceTTL {
			t.remove(part)
		}
	}
	t.recent = slices.DeleteFunc(t.recent, func(c crash) bool { return now-c.at >= evidenceTTL })
	return t.explain(changes)
}

// alive reports whether a condemned part is still in use as far as this router knows.
func (e *entry) alive(now time.Duration) bool {
	return now-max(e.condemnedAt, e.testedAt, e.requestedAt) < condemnedTTL
}

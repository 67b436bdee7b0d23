package ruleadmin

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/objectstore/fake"
	"github.com/arbutusline/arbutusline/rules"
)

// A fixed seed makes every run test the same random histories; -rapid.seed
// overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

var faultsByName = map[string]fake.Fault{
	"ok": fake.NoFault, "unavailable": fake.Unavailable, "rate-limited": fake.RateLimited, "conflict": fake.Conflict,
	"lost-request": fake.LostRequest, "lost-answer": fake.LostResponse, "late": fake.DelayedWrite,
}

// scriptRunner runs one datadriven file against one store.
type scriptRunner struct {
	t               *testing.T
	store           *fake.Store
	admin           *Admin
	definedRequests map[string]ChangeRequest
}

// noSleep replaces Options.Sleep, so that retries take no real time.
func noSleep(ctx context.Context, _ time.Duration) error { return ctx.Err() }

func fixedTime() time.Time { return time.Unix(1_800_000_000, 0) }

func newTestAdmin(store *fake.Store) *Admin {
	return New(store, Options{MaxAttempts: 4, Sleep: noSleep, Now: fixedTime})
}

// Guards against applying a change twice, losing an edit, reporting a wrong outcome
// after lost responses and outages, and naming the wrong author of a conflicting edit.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		if strings.Contains(path, "rapid") {
			return
		}
		store := fake.New()
		s := &scriptRunner{t: t, store: store, admin: newTestAdmin(store), definedRequests: map[string]ChangeRequest{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return s.run(d) })
	})
}

func (s *scriptRunner) run(d *datadriven.TestData) string {
	switch d.Cmd {
	case "define":
		s.definedRequests[d.CmdArgs[0].Key] = s.request(d)
		return ""
	case "apply":
		return s.apply(d)
	case "outage":
		s.store.SetOutage(d.HasArg("on"))
		return ""
	case "deliver-late":
		return fmt.Sprintf("%d\n", s.store.ApplyDelayedWrites())
	case "history":
		list, err := s.admin.History(context.Background(), 100)
		out := ""
		for _, r := range list {
			out += fmt.Sprintf("%d %s: %s (base %d)\n", r.Version, r.Author, r.Reason, r.BaseVersion)
		}
		return out + describeOutcome(ChangeResult{}, err)
	case "show":
		var version uint64
		d.ScanArgs(s.t, "version", &version)
		r, err := s.admin.Version(context.Background(), version)
		return r.Text + describeOutcome(ChangeResult{}, err)
	}
	return "unknown command\n"
}

func (s *scriptRunner) request(d *datadriven.TestData) ChangeRequest {
	r := ChangeRequest{Text: strings.ReplaceAll(d.Input, `\n`, "\n") + "\n", Reason: "why"}
	d.ScanArgs(s.t, "who", &r.Author)
	d.ScanArgs(s.t, "base", &r.BaseVersion)
	return r
}

// apply applies a request. "faults" lists the faults of the successive writes of
// rules/current; "before-read=N run=NAME" applies a defined request, or starts an
// outage if NAME is "outage", before the Nth read of rules/current.
func (s *scriptRunner) apply(d *datadriven.TestData) string {
	var faults, requestName string
	var beforeRead, reads, writes int
	d.MaybeScanArgs(s.t, "faults", &faults)
	d.MaybeScanArgs(s.t, "before-read", &beforeRead)
	d.MaybeScanArgs(s.t, "run", &requestName)
	interposedOutput := ""
	s.store.OnCall(func(_ context.Context, c fake.Call) fake.Fault {
		if c.Key != CurrentKey {
			return fake.NoFault
		}
		if c.Op == fake.OpGet {
			if reads++; reads == beforeRead {
				interposedOutput = s.applyDuringOther(requestName)
			}
			return fake.NoFault
		}
		writes++
		if list := strings.Split(faults, "+"); writes <= len(list) && faults != "" {
			return faultsByName[list[writes-1]]
		}
		return fake.NoFault
	})
	defer s.store.OnCall(nil)
	req, ok := s.definedRequests[d.CmdArgs[0].Key]
	if !ok {
		req = s.request(d)
	}
	result, err := s.admin.Apply(context.Background(), req)
	return interposedOutput + describeOutcome(result, err)
}

// applyDuringOther applies another operator's request, or starts an outage, while an
// Apply is in progress. The fake store allows calls from within OnCall.
func (s *scriptRunner) applyDuringOther(name string) string {
	if name == "outage" {
		s.store.SetOutage(true)
		return "outage\n"
	}
	s.store.OnCall(nil)
	result, err := s.admin.Apply(context.Background(), s.definedRequests[name])
	return "other: " + describeOutcome(result, err)
}

func describeOutcome(r ChangeResult, err error) string {
	for _, c := range []struct {
		err  error
		name string
	}{
		{rules.ErrInvalid, "invalid"}, {ErrConflict, "conflict"}, {ErrOutcomeUnknown, "unknown"}, {ErrStoreUnavailable, "unavailable"},
		{ErrBaseTooOld, "too old"}, {ErrVersionNotFound, "not found"}, {ErrInvalidRequest, "bad request"}, {ErrCorrupt, "corrupt"},
	} {
		if errors.Is(err, c.err) {
			return strings.TrimSuffix(c.name+": "+err.Error(), "\n") + "\n"
		}
	}
	switch {
	case err != nil:
		return "error: " + err.Error() + "\n"
	case r.Version == 0 && r.WriteID == "":
		return ""
	case r.Unchanged:
		return fmt.Sprintf("unchanged at version %d\n", r.Version)
	case r.AlreadyApplied:
		return fmt.Sprintf("version %d by an earlier run, now %d\n", r.Version, r.CurrentVersion)
	}
	return fmt.Sprintf("version %d, now %d\n", r.Version, r.CurrentVersion)
}

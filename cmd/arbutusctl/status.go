package main

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"google.golang.org/grpc/status"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
)

type statusCmd struct {
	All    bool `help:"Ask every live member directly instead of trusting what the given processes heard by gossip."`
	Strict bool `help:"Exit 7 when a process is behind, suspect, dead or does not answer."`
}

// processStatus is one line of the status.
type processStatus struct {
	Name         string `json:"name"`
	Role         string `json:"role"`
	Zone         string `json:"zone"`
	Address      string `json:"address"`
	State        string `json:"state"`
	RulesVersion uint64 `json:"rules_version"`
	// Behind is the number of versions that the process lacks.
	Behind uint64 `json:"behind"`
	// Source is "asked" or "gossip".
	Source string `json:"source"`
	// Error says why a process that was asked did not answer.
	Error    string `json:"error,omitempty"`
	Draining bool   `json:"draining,omitempty"`
	Queue    string `json:"queue,omitempty"`
}

// fleetStatus is the output of the command.
type fleetStatus struct {
	// RulesVersion is the one in force according to Reference.
	RulesVersion uint64 `json:"rules_version"`
	// Reference is "store", or "processes" when the store was not readable.
	Reference  string          `json:"reference"`
	StoreError string          `json:"store_error,omitempty"`
	Processes  []processStatus `json:"processes"`
	Current    int             `json:"current"`
	Lagging    int             `json:"lagging"`
	Gone       int             `json:"gone"`
}

// Run asks all given processes and prints what they know.
func (c *statusCmd) Run(s *session) error {
	given := append(slices.Clone(s.Routers), s.Agents...)
	if len(given) == 0 {
		return failf(errUsage, "no process to ask: give --router, --agent or a settings file")
	}
	if entry, ok := describeAll(s, given); ok && slices.ContainsFunc(entry.Routers, func(r entryStatus) bool { return r.Error == "" }) {
		s.printEntryFleet(entry)
		if c.Strict && len(entry.Faults) > 0 {
			return failf(errBehind, "%d faults", len(entry.Faults))
		}
		return nil
	}
	book := &statusBook{byKey: map[string]*processStatus{}}
	answered := book.ask(s, given)
	if answered == 0 {
		return failf(errUnreachable, "%d asked, the first said: %s", len(given), book.firstError())
	}
	if c.All {
		book.ask(s, book.unasked())
	}
	f := book.summary(s)
	s.printStatus(f)
	if c.Strict && f.Lagging+f.Gone > 0 {
		return failf(errBehind, "%d behind, %d gone", f.Lagging, f.Gone)
	}
	return nil
}

// statusBook collects what processes say about themselves and each other.
type statusBook struct {
	byKey map[string]*processStatus
	asked []string
}

func (b *statusBook) ask(s *session, addresses []string) (answered int) {
	b.asked = append(b.asked, addresses...)
	for _, r := range askAll(s.ctx, addresses, askStatus(true)) {
		if r.err != nil {
			b.noAnswer(r.address, r.err)
			continue
		}
		answered++
		b.self(r.address, r.value)
		for _, m := range r.value.Members {
			b.heard(m)
		}
	}
	return answered
}

func (b *statusBook) noAnswer(address string, err error) {
	for _, p := range b.byKey {
		if p.Address == address {
			p.State, p.Error, p.Source = "no answer", status.Convert(err).Message(), "asked"
			return
		}
	}
	b.byKey["?"+address] = &processStatus{
		Name: "?", Address: address, State: "no answer", Source: "asked", Error: status.Convert(err).Message(),
	}
}

func (b *statusBook) self(address string, r *arbutuspb.StatusResponse) {
	m := r.GetSelf()
	p := fromMember(m)
	p.Source, p.RulesVersion, p.Address = "asked", r.RulesVersion, cmp.Or(m.GetAddress(), address)
	if l := r.Load; l != nil {
		p.Draining = l.Draining
		p.Queue = fmt.Sprintf("%d running, %d waiting, %.0f ms", l.Running, l.Waiting, l.QueueMs)
	}
	b.byKey[p.Name] = p
	delete(b.byKey, "?"+address)
}

// heard notes what a process says about another. A process that was asked
// itself knows better; among others the newest version wins, because versions
// only rise.
func (b *statusBook) heard(m *arbutuspb.Member) {
	p, old := fromMember(m), b.byKey[m.GetName()]
	unknown := "?" + m.GetAddress()
	if q, ok := b.byKey[unknown]; ok {
		p.State, p.Error, p.Source = q.State, q.Error, q.Source
		delete(b.byKey, unknown)
	}
	if old == nil || (old.Source == "gossip" && old.RulesVersion <= p.RulesVersion) {
		b.byKey[p.Name] = p
	}
}

func fromMember(m *arbutuspb.Member) *processStatus {
	return &processStatus{
		Name: m.GetName(), Role: m.GetRole(), Zone: m.GetZone(), Address: m.GetAddress(),
		State: m.GetState(), RulesVersion: m.GetRulesVersion(), Source: "gossip",
	}
}

// unasked returns the addresses of members that nobody asked yet.
func (b *statusBook) unasked() []string {
	var list []string
	for _, p := range b.byKey {
		if p.Source == "gossip" && p.State != "dead" && p.Address != "" && !slices.Contains(b.asked, p.Address) {
			list = append(list, p.Address)
		}
	}
	slices.Sort(list)
	return list
}

func (b *statusBook) firstError() string {
	first := ""
	for _, p := range b.byKey {
		if e := p.Address + ": " + p.Error; first == "" || e < first {
			first = e
		}
	}
	return first
}

// summary compares all processes with the version in the store, or with the
// newest one seen.
func (b *statusBook) summary(s *session) fleetStatus {
	f := fleetStatus{Reference: "processes"}
	for _, p := range b.byKey {
		f.RulesVersion = max(f.RulesVersion, p.RulesVersion)
		f.Processes = append(f.Processes, *p)
	}
	if len(s.Store) > 0 {
		admin, err := s.admin()
		if err == nil {
			current, readErr := admin.Current(s.ctx)
			if err = readErr; err == nil {
				f.Reference, f.RulesVersion = "store", max(f.RulesVersion, current.Version)
			}
		}
		if err != nil {
			f.StoreError = err.Error()
		}
	}
	for i := range f.Processes {
		p := &f.Processes[i]
		p.Behind = f.RulesVersion - p.RulesVersion
		switch {
		case p.State != "alive" && p.State != "leaving":
			f.Gone++
		case p.Behind > 0:
			f.Lagging++
		default:
			f.Current++
		}
	}
	slices.SortFunc(f.Processes, func(a, b processStatus) int {
		return cmp.Or(-cmp.Compare(a.Role, b.Role), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Address, b.Address))
	})
	return f
}

func (s *session) printStatus(f fleetStatus) {
	if s.json {
		s.printJSON(f)
		return
	}
	rows := [][]string{{"NAME", "ROLE", "ZONE", "STATE", "RULES", "BEHIND", "FROM", "ADDRESS", "NOTE"}}
	for _, p := range f.Processes {
		note := p.Error + p.Queue
		if p.Draining {
			note = "draining, " + note
		}
		rows = append(rows, []string{
			p.Name, p.Role, p.Zone, p.State, strconv.FormatUint(p.RulesVersion, 10),
			strconv.FormatUint(p.Behind, 10), p.Source, p.Address, note,
		})
	}
	s.table(rows)
	fmt.Fprintf(s.stdout, "rules version %d (newest in %s): %d up to date, %d behind, %d suspect, dead or silent\n",
		f.RulesVersion, f.Reference, f.Current, f.Lagging, f.Gone)
	if f.StoreError != "" {
		fmt.Fprintln(s.stdout, "store:", f.StoreError)
	}
}

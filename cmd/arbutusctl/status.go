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
	AskAllMembers bool `name:"all" help:"Ask every live member directly instead of relying on what the given processes know from gossip."`
	Strict        bool `help:"Exit with code 7 if a process is behind, suspect, dead or does not answer, or if a router has a fault."`
}

// processStatus is the status of one router or agent.
type processStatus struct {
	Name         string `json:"name"`
	Role         string `json:"role"`
	Zone         string `json:"zone"`
	Address      string `json:"address"`
	State        string `json:"state"`
	RulesVersion uint64 `json:"rules_version"`
	// VersionsBehind is the number of rules versions that the process lacks.
	VersionsBehind uint64 `json:"behind"`
	// Source is "asked" if the process itself was asked, or "gossip" if another process
	// reported it.
	Source string `json:"source"`
	// Error says why a process that was asked did not answer.
	Error        string `json:"error,omitempty"`
	Draining     bool   `json:"draining,omitempty"`
	QueueSummary string `json:"queue,omitempty"`
}

// fleetStatus is the output of status for routers and agents.
type fleetStatus struct {
	// RulesVersion is the newest version known to RulesVersionSource.
	RulesVersion uint64 `json:"rules_version"`
	// RulesVersionSource is "store", or "processes" if the store was not read.
	RulesVersionSource string          `json:"reference"`
	StoreError         string          `json:"store_error,omitempty"`
	Processes          []processStatus `json:"processes"`
	UpToDate           int             `json:"current"`
	Behind             int             `json:"lagging"`
	Unavailable        int             `json:"gone"`
}

// Run asks the given processes for their status and prints it. The status of front routers
// has another form.
func (c *statusCmd) Run(inv *invocation) error {
	addresses := append(slices.Clone(inv.RouterAddresses), inv.AgentAddresses...)
	if len(addresses) == 0 {
		return markedErrorf(errUsage, "no process to ask: give --router, --agent or a settings file")
	}
	if frontFleet, ok := describeFrontRouters(inv, addresses); ok && slices.ContainsFunc(frontFleet.Routers, func(r frontStatus) bool { return r.Error == "" }) {
		inv.printFrontFleet(frontFleet)
		if c.Strict && len(frontFleet.Faults) > 0 {
			return markedErrorf(errUnhealthy, "%d faults found", len(frontFleet.Faults))
		}
		return nil
	}
	collector := &statusCollector{processes: map[string]*processStatus{}}
	answered := collector.collect(inv, addresses)
	if answered == 0 {
		return markedErrorf(errUnreachable, "none of %d processes answered; first error: %s", len(addresses), collector.firstError())
	}
	if c.AskAllMembers {
		collector.collect(inv, collector.unaskedAddresses())
	}
	fleet := collector.summarize(inv)
	inv.printStatus(fleet)
	if c.Strict && fleet.Behind+fleet.Unavailable > 0 {
		return markedErrorf(errUnhealthy, "%d behind, %d suspect, dead or not answering", fleet.Behind, fleet.Unavailable)
	}
	return nil
}

// unknownName stands for the name of a process that did not answer.
const unknownName = "?"

// statusCollector combines what processes report about themselves and each other.
type statusCollector struct {
	// processes maps names to statuses. A process that did not answer and whose name is
	// unknown has the key unknownName followed by its address.
	processes      map[string]*processStatus
	askedAddresses []string
}

// collect asks processes and returns the number that answered.
func (c *statusCollector) collect(inv *invocation, addresses []string) (answered int) {
	c.askedAddresses = append(c.askedAddresses, addresses...)
	for _, r := range callAll(inv.ctx, addresses, statusCall(true)) {
		if r.err != nil {
			c.recordUnanswered(r.address, r.err)
			continue
		}
		answered++
		c.recordOwnStatus(r.address, r.value)
		for _, m := range r.value.Members {
			c.recordMember(m)
		}
	}
	return answered
}

// recordUnanswered records that the process at address did not answer.
func (c *statusCollector) recordUnanswered(address string, err error) {
	for _, p := range c.processes {
		if p.Address == address {
			p.State, p.Error, p.Source = "no answer", status.Convert(err).Message(), "asked"
			return
		}
	}
	c.processes[unknownName+address] = &processStatus{
		Name: unknownName, Address: address, State: "no answer", Source: "asked", Error: status.Convert(err).Message(),
	}
}

// recordOwnStatus records the answer of the process at address.
func (c *statusCollector) recordOwnStatus(address string, r *arbutuspb.StatusResponse) {
	m := r.GetSelf()
	p := newProcessStatus(m)
	p.Source, p.RulesVersion, p.Address = "asked", r.RulesVersion, cmp.Or(m.GetAddress(), address)
	if l := r.Load; l != nil {
		p.Draining = l.Draining
		p.QueueSummary = fmt.Sprintf("%d running, %d waiting, %.0f ms", l.Running, l.Waiting, l.QueueMs)
	}
	c.processes[p.Name] = p
	delete(c.processes, unknownName+address)
}

// recordMember records what a process reports about another. The answer of that other
// process itself takes precedence. Among reports the newest rules version wins, because
// versions only rise.
func (c *statusCollector) recordMember(m *arbutuspb.Member) {
	p, known := newProcessStatus(m), c.processes[m.GetName()]
	placeholderName := unknownName + m.GetAddress()
	if unanswered, ok := c.processes[placeholderName]; ok {
		p.State, p.Error, p.Source = unanswered.State, unanswered.Error, unanswered.Source
		delete(c.processes, placeholderName)
	}
	if known == nil || (known.Source == "gossip" && known.RulesVersion <= p.RulesVersion) {
		c.processes[p.Name] = p
	}
}

func newProcessStatus(m *arbutuspb.Member) *processStatus {
	return &processStatus{
		Name: m.GetName(), Role: m.GetRole(), Zone: m.GetZone(), Address: m.GetAddress(),
		State: m.GetState(), RulesVersion: m.GetRulesVersion(), Source: "gossip",
	}
}

// unaskedAddresses returns the addresses of members that were not asked yet.
func (c *statusCollector) unaskedAddresses() []string {
	var list []string
	for _, p := range c.processes {
		if p.Source == "gossip" && p.State != "dead" && p.Address != "" && !slices.Contains(c.askedAddresses, p.Address) {
			list = append(list, p.Address)
		}
	}
	slices.Sort(list)
	return list
}

// firstError returns the first error in the order of addresses.
func (c *statusCollector) firstError() string {
	first := ""
	for _, p := range c.processes {
		if e := p.Address + ": " + p.Error; first == "" || e < first {
			first = e
		}
	}
	return first
}

// summarize compares the rules version of every process with the version in the store,
// or with the newest version of any process.
func (c *statusCollector) summarize(inv *invocation) fleetStatus {
	fleet := fleetStatus{RulesVersionSource: "processes"}
	for _, p := range c.processes {
		fleet.RulesVersion = max(fleet.RulesVersion, p.RulesVersion)
		fleet.Processes = append(fleet.Processes, *p)
	}
	if len(inv.StoreURLs) > 0 {
		admin, err := inv.newRuleAdmin()
		if err == nil {
			current, readErr := admin.Current(inv.ctx)
			if err = readErr; err == nil {
				fleet.RulesVersionSource, fleet.RulesVersion = "store", max(fleet.RulesVersion, current.Version)
			}
		}
		if err != nil {
			fleet.StoreError = err.Error()
		}
	}
	for i := range fleet.Processes {
		p := &fleet.Processes[i]
		p.VersionsBehind = fleet.RulesVersion - p.RulesVersion
		switch {
		case p.State != "alive" && p.State != "leaving":
			fleet.Unavailable++
		case p.VersionsBehind > 0:
			fleet.Behind++
		default:
			fleet.UpToDate++
		}
	}
	slices.SortFunc(fleet.Processes, func(a, b processStatus) int {
		return cmp.Or(-cmp.Compare(a.Role, b.Role), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Address, b.Address))
	})
	return fleet
}

func (inv *invocation) printStatus(fleet fleetStatus) {
	if inv.jsonOutput {
		inv.printJSON(fleet)
		return
	}
	rows := [][]string{{"NAME", "ROLE", "ZONE", "STATE", "RULES", "BEHIND", "FROM", "ADDRESS", "NOTE"}}
	for _, p := range fleet.Processes {
		note := p.Error + p.QueueSummary
		if p.Draining {
			note = "draining, " + note
		}
		rows = append(rows, []string{
			p.Name, p.Role, p.Zone, p.State, strconv.FormatUint(p.RulesVersion, 10),
			strconv.FormatUint(p.VersionsBehind, 10), p.Source, p.Address, note,
		})
	}
	inv.printTable(rows)
	fmt.Fprintf(inv.stdout, "rules version %d (newest in %s): %d up to date, %d behind, %d suspect, dead or not answering\n",
		fleet.RulesVersion, fleet.RulesVersionSource, fleet.UpToDate, fleet.Behind, fleet.Unavailable)
	if fleet.StoreError != "" {
		fmt.Fprintln(inv.stdout, "store:", fleet.StoreError)
	}
}

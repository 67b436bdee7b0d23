// Package memory is the module "memory": it bounds the memory that responses of endpoints, the
// store and other routers may take together, and what is held for callers, and tells the runtime
// the process's limit.
package memory

import (
	"context"
	"math"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/decision/bytebudget"
	"github.com/arbutusline/arbutusline/modules/admin"
)

// Name is the name of the module.
const Name = "memory"

const (
	// maxDefaultResponseBytes is the default of ResponseBytes on hosts with much memory: several
	// times the answers, lists and cache events of the largest deployments in flight.
	maxDefaultResponseBytes = 32 << 20
	// maxResponseShare is the largest share of the process's memory that responses may have.
	// The rest is for what a process needs without them, for decoded values, and for garbage,
	// of which the runtime lets as much arise as is in use.
	maxResponseShare = 0.25
	// minResponseBytes is the least memory for responses: a list page of the store of 1 MB in
	// the part that is left to the store and other routers.
	minResponseBytes = 6 << 20
	// controlShare is the part of the memory for responses that only the store and other routers
	// may use, so that no endpoint keeps a router from learning of changes.
	controlShare = 1.0 / 3
	// callerShare is the share of the process's memory that is the default of CallerBytes, and
	// maxCallerShare the largest one. With the memory for responses half is left by default, for
	// the same reasons as above.
	callerShare    = 0.25
	maxCallerShare = 0.5
	// minCallerBytes is the least memory for callers: two bodies of 1 MiB of one team beside as
	// much that stays free.
	minCallerBytes = 4 << 20
	// softLimitShare is the share of the process's memory from which the runtime collects
	// garbage more often.
	softLimitShare = 0.75
	// denialLogInterval bounds the log lines about denied memory to one a second.
	denialLogInterval = time.Second
)

func init() { arbutusline.Register(func() arbutusline.Module { return &Memory{} }) }

// Memory bounds the memory for responses.
type Memory struct {
	// ResponseBytes bounds the memory for responses of endpoints, the store and other routers,
	// in bytes. A third of it is reserved for the store and other routers. At most a quarter of
	// the process's memory. Default 0: a quarter of the process's memory, at most 32 MiB.
	ResponseBytes int64 `json:"response_bytes"`
	// ProcessBytes is the memory that the process may use, in bytes. Default 0: the least of
	// the host's memory and the limits of the control group and the process.
	ProcessBytes int64 `json:"process_bytes"`
	// CallerBytes bounds the memory that is held for callers, in bytes: bodies of requests, what
	// each request needs until its caller has the response, and the responses that are expected.
	// A team may take more only while as much as it then holds stays free, which is half if it is
	// alone. At most half of the process's memory. Default 0: a quarter of the process's memory.
	CallerBytes int64 `json:"caller_bytes"`

	log                *logrus.Entry
	softLimit          int64
	endpoints, control *bytebudget.Pool
	callers            *bytebudget.Pool
	denied             *prometheus.CounterVec

	mu          sync.Mutex
	lastDenials map[string]time.Time
}

// ModuleName returns "memory".
func (m *Memory) ModuleName() string { return Name }

// Provision creates the pools and registers the metrics.
func (m *Memory) Provision(k *arbutusline.Kernel) error {
	m.log = k.Log.WithField("module", Name)
	a, err := arbutusline.Lookup[*admin.Admin](k, admin.Name)
	if err != nil {
		return err
	}
	process, responses := m.limits()
	m.denied = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutus_memory_denied_total", Help: "Responses given up because too little memory for responses was left, by pool.",
	}, []string{"pool"})
	a.Registry().MustRegister(m.denied)
	m.lastDenials = map[string]time.Time{}
	controlBytes := int64(controlShare * float64(responses))
	m.softLimit = int64(softLimitShare * float64(process))
	m.endpoints = m.newPool(a, "endpoints", responses-controlBytes)
	m.control = m.newPool(a, "control", controlBytes)
	// The module "ingress" logs and counts the requests that it refuses.
	m.callers = bytebudget.New(m.callerBytes(process), nil)
	a.Registry().MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "arbutus_memory_caller_bytes", Help: "Memory that is held for callers.",
		}, func() float64 { return float64(m.callers.Used()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "arbutus_memory_caller_limit_bytes", Help: "Memory that may be held for callers.",
		}, func() float64 { return float64(m.callers.Capacity()) }),
		largestTeamGauge("callers", m.callers), largestTeamGauge("endpoints", m.endpoints))
	return nil
}

// limits returns the memory of the process and that for responses.
func (m *Memory) limits() (process, responses int64) {
	if process, responses = m.ProcessBytes, m.ResponseBytes; process == 0 {
		process = detectProcessBytes()
	}
	if responses == 0 {
		responses = min(maxDefaultResponseBytes, maxResponseBytes(process))
	}
	return process, responses
}

// callerBytes returns the memory for callers.
func (m *Memory) callerBytes(process int64) int64 {
	if m.CallerBytes != 0 {
		return m.CallerBytes
	}
	return int64(callerShare * float64(process))
}

// largestTeamGauge returns a metric without a label for the team, whose number is not bounded.
func largestTeamGauge(name string, p *bytebudget.Pool) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "arbutus_memory_largest_team_bytes", Help: "Memory that the team with most of it holds, by pool.",
		ConstLabels: prometheus.Labels{"pool": name},
	}, func() float64 {
		_, held := p.LargestTeam()
		return float64(held)
	})
}

func (m *Memory) newPool(a *admin.Admin, name string, capacity int64) *bytebudget.Pool {
	p := bytebudget.New(capacity, func(d bytebudget.Denial) { m.observeDenial(name, d) })
	labels := prometheus.Labels{"pool": name}
	a.Registry().MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "arbutus_memory_response_bytes", Help: "Memory that responses hold, by pool.", ConstLabels: labels,
		}, func() float64 { return float64(p.Used()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "arbutus_memory_response_limit_bytes", Help: "Memory that responses may hold, by pool.", ConstLabels: labels,
		}, func() float64 { return float64(p.Capacity()) }))
	return p
}

// Validate checks that the memory for responses fits into the process.
func (m *Memory) Validate() error {
	process, responses := m.limits()
	switch {
	case m.ResponseBytes < 0 || m.ProcessBytes < 0 || m.CallerBytes < 0:
		return errors.New("response_bytes, caller_bytes and process_bytes must not be negative")
	case responses < minResponseBytes:
		return errors.Newf("memory for responses is %d bytes; %d are needed", responses, int64(minResponseBytes))
	case responses > maxResponseBytes(process):
		return errors.Newf("response_bytes is %d, more than a quarter of the %d bytes that the process may use", responses, process)
	case m.callerBytes(process) < minCallerBytes:
		return errors.Newf("memory for callers is %d bytes; %d are needed", m.callerBytes(process), int64(minCallerBytes))
	case m.callerBytes(process) > int64(maxCallerShare*float64(process)):
		return errors.Newf("caller_bytes is %d, more than half of the %d bytes that the process may use", m.CallerBytes, process)
	}
	return nil
}

// Start tells the runtime the process's limit, unless the environment has set another one.
func (m *Memory) Start(context.Context) error {
	softLimit := debug.SetMemoryLimit(-1)
	if softLimit == math.MaxInt64 {
		softLimit = m.softLimit
		debug.SetMemoryLimit(softLimit)
	}
	m.log.WithFields(logrus.Fields{
		"soft_limit_bytes": softLimit, "endpoints_bytes": m.endpoints.Capacity(), "control_bytes": m.control.Capacity(),
		"callers_bytes": m.callers.Capacity(),
	}).Info("memory bounded")
	return nil
}

// Endpoints returns the memory for what endpoints send.
func (m *Memory) Endpoints() *bytebudget.Pool { return m.endpoints }

// Callers returns the memory for what is held for callers.
func (m *Memory) Callers() *bytebudget.Pool { return m.callers }

// TeamAccount returns the name under which the pools account for a team. Callers without a team
// share one account.
func TeamAccount(team string) string {
	if team == "" {
		return noTeam
	}
	return team
}

// noTeam is the account of callers without a team.
const noTeam = "-"

// Control returns the memory for what the store and other routers send.
func (m *Memory) Control() *bytebudget.Pool { return m.control }

func (m *Memory) observeDenial(pool string, d bytebudget.Denial) {
	m.denied.WithLabelValues(pool).Inc()
	m.mu.Lock()
	write := time.Since(m.lastDenials[pool]) >= denialLogInterval
	if write {
		m.lastDenials[pool] = time.Now()
	}
	m.mu.Unlock()
	if write {
		m.log.WithFields(logrus.Fields{
			"pool": pool, "held": d.Held, "wanted": d.Wanted, "used": d.Used, "team": d.Team, "team_held": d.TeamHeld, "team_share": d.TeamShare,
		}).Warn("response given up because memory for responses is short")
	}
}

func maxResponseBytes(processBytes int64) int64 {
	return int64(maxResponseShare * float64(processBytes))
}

// detectProcessBytes returns the least of the host's memory and the limits of the control group
// and the process. Limits that cannot be read count as none.
func detectProcessBytes() int64 {
	least := int64(math.MaxInt64)
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) == nil {
		least = limited(least, info.Totalram*uint64(info.Unit))
	}
	for _, resource := range []int{unix.RLIMIT_AS, unix.RLIMIT_DATA} {
		var limit unix.Rlimit
		if unix.Getrlimit(resource, &limit) == nil {
			least = limited(least, limit.Cur)
		}
	}
	return limited(least, controlGroupBytes())
}

func limited(least int64, limit uint64) int64 {
	if limit == 0 || limit > uint64(least) {
		return least
	}
	return int64(limit)
}

// controlGroupBytes returns the limit of the process's control group (version 2), or 0 if it has
// none.
func controlGroupBytes() uint64 {
	groups, err := os.ReadFile("/proc/self/cgroup")
	if err != nil {
		return 0
	}
	text, err := os.ReadFile("/sys/fs/cgroup" + controlGroupPath(string(groups)) + "/memory.max")
	if err != nil {
		return 0
	}
	limit, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64)
	if err != nil {
		return 0 // "max" stands for no limit.
	}
	return limit
}

// controlGroupPath returns the path of the control group of version 2 in the list of a process's
// groups, or "" if there is none.
func controlGroupPath(groups string) string {
	for line := range strings.Lines(groups) {
		if path, ok := strings.CutPrefix(line, "0::"); ok {
			return strings.TrimSpace(path)
		}
	}
	return ""
}

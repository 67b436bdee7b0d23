package capacity

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// loadRun is a phase of constant load: requests are sent at a fixed rate, each for the
// same number of output tokens.
type loadRun struct {
	RequestsPerSecond float64 `json:"rate"`
	TokensPerRequest  int     `json:"tokens"`
	// Duration is the time during which requests are sent.
	Duration time.Duration `json:"-"`
}

// loadRuns vary the request rate and the tokens per request independently, so that the
// fit can separate their costs. The first run measures idle processes. The second run is
// close to the target of a router, 50 requests and 11,316 tokens per second. The load
// falls and rises again, which separates the memory of open streams from the memory that
// is still held after requests end.
var loadRuns = []loadRun{
	{0, 0, 6 * time.Second},
	{50, 226, 3 * time.Second},
	{20, 8, 3 * time.Second},
	{50, 96, 3 * time.Second},
	{20, 160, 3 * time.Second},
	{60, 8, 3 * time.Second},
	{20, 96, 3 * time.Second},
}

const (
	// settleTime lets the processes finish the work of the previous run.
	settleTime = 300 * time.Millisecond
	// sampleInterval is the time between two samples of memory and open streams.
	sampleInterval = 500 * time.Millisecond
	// requestTimeout is how long after the last request is sent a run waits for requests
	// that hang.
	requestTimeout = 30 * time.Second
	// sharedPrefixCount is the number of different prompt prefixes.
	sharedPrefixCount = 10
)

// LoadTarget names the processes under load and the requests that are sent.
type LoadTarget struct {
	Router      string   `name:"router" placeholder:"URL" help:"Measure the data path instead: base URL of the router to load."`
	RouterAdmin string   `name:"router-admin" placeholder:"URL" help:"Admin URL of this router."`
	AgentAdmin  []string `name:"agent-admin" placeholder:"URL" help:"Admin URLs of the agents."`
	Token       string   `name:"token" help:"Bearer token of the sending team."`
	Model       string   `name:"model" help:"Model to request."`
}

// roleMetrics are metrics summed over the processes of one role.
type roleMetrics struct {
	cpuSeconds, residentBytes, heapBytes, requests float64
}

// observation is a data point of a least-squares fit: the inputs x and the result y.
type observation struct {
	x []float64
	y float64
}

// RoleResult is the processor time that the processes of one role used in one run, and
// the requests that they counted.
type RoleResult struct {
	CPUSeconds float64 `json:"cpu_seconds"`
	Requests   float64 `json:"requests"`
}

// RunResult is the result of one loadRun.
type RunResult struct {
	loadRun
	Seconds        float64    `json:"seconds"`
	Completed      int        `json:"completed"`
	Failed         int        `json:"failed"`
	OutputTokens   int        `json:"output_tokens"`
	MaxOpenStreams int        `json:"most_open"`
	Router         RoleResult `json:"router"`
	Agents         RoleResult `json:"agents"`
}

// DataPathReport is the content of the file that scripts/data-path.sh writes.
type DataPathReport struct {
	AgentCount int         `json:"agents"`
	Slopes     Slopes      `json:"slopes"`
	Runs       []RunResult `json:"runs"`
	// RefusalsByCode counts refused requests by error code.
	RefusalsByCode map[string]int `json:"refused"`
}

// ReadDataPathReport reads a file that scripts/data-path.sh wrote.
func ReadDataPathReport(path string) (*DataPathReport, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read data path slopes")
	}
	var report DataPathReport
	return &report, errors.Wrapf(json.Unmarshal(text, &report), "parse %s", path)
}

// loadGenerator sends requests to a router and samples the metrics of the processes.
type loadGenerator struct {
	target LoadTarget
	client *http.Client

	openStreams       atomic.Int64
	completed         atomic.Int64
	failed            atomic.Int64
	outputTokens      atomic.Int64
	responseBytes     atomic.Int64
	lastRequestNumber atomic.Int64

	mu             sync.Mutex
	refusalsByCode map[string]int

	results            []RunResult
	cpuObservations    [2][]observation
	memoryObservations [2][]observation
	// idleMicrosPerSecond is the processor time per second without load.
	idleMicrosPerSecond [2]float64
	idleResidentBytes   [2]float64
	maxResidentBytes    [2]float64
}

// Roles of the measured processes, as indexes of arrays.
const (
	roleRouter = iota
	roleAgents
)

// MeasureDataPath sends load to running processes and fits the slopes to the results.
func MeasureDataPath(ctx context.Context, target LoadTarget) (*DataPathReport, error) {
	l := &loadGenerator{target: target, refusalsByCode: map[string]int{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}}
	// Opens connections and fills buffer pools and the learned index before the first
	// recorded run.
	if _, err := l.runLoad(ctx, loadRun{20, 8, 2 * time.Second}, false); err != nil {
		return nil, err
	}
	for _, r := range loadRuns {
		result, err := l.runLoad(ctx, r, true)
		if err != nil {
			return nil, err
		}
		l.results = append(l.results, result)
	}
	return l.fitSlopes()
}

// runLoad sends the requests of one run and waits for their responses. Without record,
// it adds no observations.
func (l *loadGenerator) runLoad(ctx context.Context, r loadRun, record bool) (RunResult, error) {
	time.Sleep(settleTime)
	before, err := l.readRoleMetrics()
	if err != nil {
		return RunResult{}, err
	}
	if r.RequestsPerSecond == 0 {
		for role := range before {
			l.idleResidentBytes[role] = before[role].residentBytes
		}
	}
	start, completed, failed, tokens := time.Now(), l.completed.Load(), l.failed.Load(), l.outputTokens.Load()
	stop, maxOpen := make(chan struct{}), 0
	var sampling sync.WaitGroup
	if r.RequestsPerSecond > 0 {
		// Idle processes are not sampled periodically: serving the metrics would
		// double their processor time.
		sampling.Go(func() { maxOpen = l.sampleUntil(stop, record) })
	}
	l.sendRequests(ctx, r)
	close(stop)
	sampling.Wait()
	after, err := l.readRoleMetrics()
	if err != nil {
		return RunResult{}, err
	}
	result := RunResult{
		loadRun: r, Seconds: time.Since(start).Seconds(), MaxOpenStreams: maxOpen,
		Completed: int(l.completed.Load() - completed), Failed: int(l.failed.Load() - failed), OutputTokens: int(l.outputTokens.Load() - tokens),
	}
	roles := [2]*RoleResult{&result.Router, &result.Agents}
	for role := range before {
		*roles[role] = RoleResult{after[role].cpuSeconds - before[role].cpuSeconds, after[role].requests - before[role].requests}
		if r.RequestsPerSecond == 0 {
			l.idleMicrosPerSecond[role] = roles[role].CPUSeconds * 1e6 / result.Seconds
		} else if record {
			l.cpuObservations[role] = append(l.cpuObservations[role], observation{
				[]float64{result.Seconds, roles[role].Requests, float64(result.OutputTokens)}, roles[role].CPUSeconds * 1e6,
			})
		}
	}
	return result, nil
}

// sendRequests sends requests at a fixed interval without waiting for earlier ones (open
// loop), then waits until all have ended.
func (l *loadGenerator) sendRequests(ctx context.Context, r loadRun) {
	if r.RequestsPerSecond == 0 {
		time.Sleep(r.Duration)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.Duration+requestTimeout)
	defer cancel()
	var running sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / r.RequestsPerSecond))
	defer ticker.Stop()
	for range int(r.RequestsPerSecond * r.Duration.Seconds()) {
		<-ticker.C
		running.Go(func() {
			l.openStreams.Add(1)
			defer l.openStreams.Add(-1)
			outputTokens, responseBytes, err := l.sendRequest(ctx, r.TokensPerRequest)
			l.responseBytes.Add(int64(responseBytes))
			if err != nil || outputTokens != r.TokensPerRequest {
				l.failed.Add(1)
				return
			}
			l.completed.Add(1)
			l.outputTokens.Add(int64(outputTokens))
		})
	}
	running.Wait()
}

// sendRequest sends one streamed completion and returns the output tokens that the
// response reports and its size in bytes.
func (l *loadGenerator) sendRequest(ctx context.Context, tokens int) (outputTokens, responseBytes int, err error) {
	id := l.lastRequestNumber.Add(1)
	prompt := strings.Repeat(fmt.Sprintf("guidance document %02d of the data path run. ", id%sharedPrefixCount), 120) +
		strings.Repeat(fmt.Sprintf("request %08d ", id), 24)
	body, err := json.Marshal(map[string]any{"model": l.target.Model, "prompt": prompt, "stream": true, "max_tokens": tokens})
	if err != nil {
		return 0, 0, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.target.Router+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	req.Header.Set("Authorization", "Bearer "+l.target.Token)
	resp, err := l.client.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		l.countRefusal(resp.Body)
		return 0, 0, errors.Newf("status %d", resp.StatusCode)
	}
	return readStream(resp.Body)
}

// countRefusal counts a refusal by its error code.
func (l *loadGenerator) countRefusal(body io.Reader) {
	var answer struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if err := json.NewDecoder(body).Decode(&answer); err != nil {
		answer.Error.Code = "unreadable"
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusalsByCode[answer.Error.Code]++
}

// readStream reads a streamed response and returns the output tokens that its usage event
// reports, 0 without one, and its size in bytes.
func readStream(body io.Reader) (outputTokens, responseBytes int, err error) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		responseBytes += len(lines.Bytes()) + 1
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok || !strings.Contains(data, `"usage"`) {
			continue
		}
		var end struct {
			Usage struct {
				Tokens int `json:"completion_tokens"`
			} `json:"usage"`
		}
		if err := json.Unmarshal([]byte(data), &end); err != nil {
			return 0, responseBytes, err
		}
		outputTokens = end.Usage.Tokens
	}
	return outputTokens, responseBytes, lines.Err()
}

// sampleUntil samples memory and open streams until stop is closed and returns the
// largest number of open streams.
func (l *loadGenerator) sampleUntil(stop chan struct{}, record bool) int {
	maxOpen := 0
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return maxOpen
		case <-ticker.C:
		}
		open := int(l.openStreams.Load())
		maxOpen = max(maxOpen, open)
		s, err := l.readRoleMetrics()
		if err != nil || !record {
			continue
		}
		for role := range s {
			l.maxResidentBytes[role] = max(l.maxResidentBytes[role], s[role].residentBytes)
			l.memoryObservations[role] = append(l.memoryObservations[role], observation{
				[]float64{1, float64(open), float64(l.completed.Load())}, s[role].heapBytes,
			})
		}
	}
}

// readRoleMetrics reads the metrics of all processes and sums them by role.
func (l *loadGenerator) readRoleMetrics() ([2]roleMetrics, error) {
	var all [2]roleMetrics
	for i, address := range append([]string{l.target.RouterAdmin}, l.target.AgentAdmin...) {
		families, err := l.fetchMetrics(address)
		if err != nil {
			return all, errors.Wrapf(err, "read metrics of %s", address)
		}
		s := &all[min(i, roleAgents)]
		s.cpuSeconds += metricTotal(families, "process_cpu_seconds_total")
		s.residentBytes += metricTotal(families, "process_resident_memory_bytes")
		// The heap size that triggers the next collection follows the live heap
		// and does not vary with uncollected garbage.
		s.heapBytes += metricTotal(families, "go_memstats_next_gc_bytes") + metricTotal(families, "go_memstats_stack_inuse_bytes")
		s.requests += metricTotal(families, "arbutus_router_requests_total") + metricTotal(families, "arbutus_agent_started_total")
	}
	return all, nil
}

func (l *loadGenerator) fetchMetrics(address string) (map[string]*dto.MetricFamily, error) {
	resp, err := l.client.Get(address + "/metrics")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	return parser.TextToMetricFamilies(resp.Body)
}

// metricTotal sums the series of a metric.
func metricTotal(families map[string]*dto.MetricFamily, name string) float64 {
	sum := 0.0
	for _, m := range families[name].GetMetric() {
		sum += m.GetCounter().GetValue() + m.GetGauge().GetValue()
	}
	return sum
}

// fitSlopes fits the slopes to the observations of all runs.
func (l *loadGenerator) fitSlopes() (*DataPathReport, error) {
	report := &DataPathReport{AgentCount: len(l.target.AgentAdmin), Runs: l.results, RefusalsByCode: l.refusalsByCode}
	processes := [2]float64{1, float64(report.AgentCount)}
	for role, name := range []string{"router", "agent"} {
		cpu, err := leastSquares(l.cpuObservations[role])
		if err != nil {
			return nil, errors.Wrapf(err, "fit processor time of the %s", name)
		}
		memory, err := leastSquares(l.memoryObservations[role])
		if err != nil {
			return nil, errors.Wrapf(err, "fit memory of the %s", name)
		}
		prefix := "datapath." + name + "."
		report.Slopes.addMeasured(prefix+"idle", l.idleMicrosPerSecond[role]/processes[role], "µs", fmt.Sprintf("per second and process, no load, %d members", 1+report.AgentCount))
		conditions := fmt.Sprintf("least squares over %d runs", len(l.cpuObservations[role]))
		report.Slopes.addMeasured(prefix+"request", cpu[1], "µs", conditions+", per request")
		report.Slopes.addMeasured(prefix+"token", cpu[2], "µs", conditions+", per output token")
		conditions = fmt.Sprintf("least squares over %d samples", len(l.memoryObservations[role]))
		report.Slopes.addMeasured(prefix+"open", memory[1], "B", conditions+", per open stream, room for garbage included")
		report.Slopes.addMeasured(prefix+"done", memory[2], "B", conditions+", per request that ended, room for garbage included")
		report.Slopes.addMeasured(prefix+"resident", l.idleResidentBytes[role]/processes[role], "B", "resident memory of a process after 40 requests, without load")
		report.Slopes.addMeasured(prefix+"resident_most", l.maxResidentBytes[role]/processes[role], "B", "largest resident memory in a run")
	}
	report.Slopes.addMeasured("datapath.caller_bytes", float64(l.responseBytes.Load())/float64(l.outputTokens.Load()), "B", "body of the answers per output token, one event per token")
	return report, nil
}

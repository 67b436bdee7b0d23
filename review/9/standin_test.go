//go:build review

// Package review9 is the stand-in of review case 9: callers, engines and the platform's store. One
// part of a prompt crashes each engine that begins to write an answer on it, after its first event.
package review9

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/arbutusline/arbutusline/standin/platform"
)

// Exit codes of run.sh.
const (
	held        = 0
	broken      = 1
	couldNotRun = 2
)

const (
	hostname  = "desk.example"
	apiKey    = "key-1"
	model     = "m0"
	heartbeat = 1200 * time.Millisecond
)

// deployment is a store, engines and routers on loopback addresses.
type deployment struct {
	dir, root string
	startedAt time.Time
	store     *platform.Store
	storeAddr string
	record    *os.File
	mu        sync.Mutex
	fronts    []*front
	// crashes and lateArrivals count crashes, and requests with the deadly part that reached engines
	// later than stableWindow after the fifth.
	crashes, lateArrivals int
	fifthCrashAt          time.Time
}

// logf writes a line to record.txt.
func (d *deployment) logf(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = fmt.Fprintf(d.record, "%8.3f %s\n", time.Since(d.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// front is a router process.
type front struct {
	d                           *deployment
	name, ip                    string
	callers, ready, ctl, metric string
	cmd                         *exec.Cmd
	exited                      chan struct{}
}

func freePort(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return strconv.Itoa(l.Addr().(*net.TCPAddr).Port)
}

// newDeployment starts a store with a configuration.
func newDeployment(config map[string]any) *deployment {
	d := &deployment{root: os.Getenv("REVIEW_ROOT"), startedAt: time.Now(), store: &platform.Store{}}
	var err error
	if d.dir, err = os.MkdirTemp("", "arbutus-review"); err != nil {
		panic(err)
	}
	if d.record, err = os.Create(filepath.Join(os.Getenv("REVIEW_CASE"), "record.txt")); err != nil {
		panic(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	d.storeAddr = l.Addr().String()
	go func() { _ = http.Serve(l, d.store) }()
	d.store.Put("config", "main", config)
	d.store.Put("versions", model, map[string]any{"model": model, "version": 1})
	return d
}

// addFront prepares a router on a loopback address of its own.
func (d *deployment) addFront(network string) *front {
	n := len(d.fronts) + 1
	f := &front{d: d, name: fmt.Sprintf("front-a-%d", n), ip: fmt.Sprintf("%s.%d", network, n)}
	f.callers, f.ready = f.ip+":"+freePort(f.ip), f.ip+":"+freePort(f.ip)
	f.ctl = f.ip + ":" + freePort(f.ip)
	d.fronts = append(d.fronts, f)
	return f
}

// start starts the router with the command and the settings template of the deploy file.
func (f *front) start() {
	template, err := os.ReadFile(filepath.Join(f.d.root, "deploy/router.json.tmpl"))
	if err != nil {
		panic(err)
	}
	seeds := []string{}
	for _, o := range f.d.fronts {
		seeds = append(seeds, o.ctl)
	}
	seedText, _ := json.Marshal(seeds[:min(3, len(seeds))])
	text := strings.NewReplacer(
		"{{node_name|json}}", strconv.Quote(f.name), "{{zone|json}}", `"a"`, "{{region|json}}", `"r"`,
		"{{listen.ready|json}}", strconv.Quote(f.ready), "{{listen.control|json}}", strconv.Quote(f.ctl),
		"{{listen.front|json}}", strconv.Quote(f.callers), "{{ip|json}}", strconv.Quote(f.ip), "{{ip}}", f.ip,
		"{{platform.address|json}}", strconv.Quote(f.d.storeAddr), "{{seeds|json}}", string(seedText),
		"{{bounds.retry_budget_ratio|json}}", "0.2", "{{bounds.retry_budget_slack|json}}", "56", "{{bounds.budget_window_s}}", "10",
		"{{bounds.version_ms}}", "8000", "{{bounds.lease_ms}}", "3000",
	).Replace(string(template))
	path := filepath.Join(f.d.dir, f.name+".json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		panic(err)
	}
	f.cmd = exec.Command(filepath.Join(f.d.root, f.d.runWords()[0]), f.d.runArguments(path)...)
	f.cmd.Dir = f.d.root
	log, err := os.OpenFile(filepath.Join(f.d.dir, f.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	f.cmd.Stdout, f.cmd.Stderr = log, log
	f.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := f.cmd.Start(); err != nil {
		panic(err)
	}
	f.exited = make(chan struct{})
	go func() { _ = f.cmd.Wait(); close(f.exited) }()
	f.d.logf("router %s started at %s, pid %d", f.name, f.callers, f.cmd.Process.Pid)
}

// runWords returns the words of the run line of the deploy file.
func (d *deployment) runWords() []string {
	text, err := os.ReadFile(filepath.Join(d.root, "deploy/system.toml"))
	if err != nil {
		panic(err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`))
		}
	}
	panic("deploy file has no run line")
}

func (d *deployment) runArguments(settings string) []string {
	var out []string
	for _, w := range d.runWords()[1:] {
		out = append(out, strings.NewReplacer("/etc/arbutusline/node.json", settings, "{{bounds.config_ms}}", "2000", "{{bounds.drain_ms}}", "2000").Replace(w))
	}
	return out
}

// waitReady waits until all routers are ready.
func (d *deployment) waitReady() bool {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, f := range d.fronts {
			if r, err := http.Get("http://" + f.ready + "/readyz"); err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(d.fronts) {
			return true
		}
	}
	return false
}

// stop ends all processes that were started, and keeps their logs if KEEP_LOGS names a folder.
func (d *deployment) stop() {
	for _, f := range d.fronts {
		if f.cmd != nil && f.cmd.Process != nil {
			_ = f.cmd.Process.Kill()
			<-f.exited
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(d.dir))
	}
	_ = os.RemoveAll(d.dir)
	_ = d.record.Close()
}

// host runs one model engine at a time. Each start has a new ID and address.
type host struct {
	d    *deployment
	name string

	mu     sync.Mutex
	boots  int
	worker *worker
}

// worker is one start of an engine.
type worker struct {
	host   *host
	id     string
	born   int64
	server *http.Server
	once   sync.Once
}

// start starts an engine and registers it.
func (h *host) start() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.boots++
	w := &worker{host: h, id: fmt.Sprintf("i-%s-%d", h.name, h.boots), born: time.Now().UnixMilli()}
	w.server = &http.Server{Handler: w}
	h.worker = w
	go func() { _ = w.server.Serve(l) }()
	h.d.store.Put("servers", w.id, map[string]any{
		"service": "llm", "address": l.Addr().String(), "zone": "a", "version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0,
		"sequence": 1, "born": w.born, "models": []map[string]any{{"name": model, "version": 1, "adapters": []string{}}},
	})
	h.d.logf("worker %s starts at %s", w.id, l.Addr())
}

// crash ends the engine: its connections break. The host starts the next one two seconds later, and
// the entry of the crashed one is removed after three heartbeats.
func (w *worker) crash(request string) {
	w.once.Do(func() {
		w.host.d.countCrash(w.id, request)
		_ = w.server.Close()
		time.AfterFunc(restartTime, w.host.start)
		time.AfterFunc(3*heartbeat, func() { w.host.d.store.Remove("servers", w.id) })
	})
}

// ServeHTTP serves the engine API and streams.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
		if id != "" {
			rw.Header().Set("Request-Id", id)
		}
		rw.Header().Set("Instance-Id", w.id)
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		writeJSON(rw, map[string]any{"stage": "both", "models": []map[string]any{{"name": model, "version": 1, "adapters": []string{}}},
			"busy": false, "sequence": 0, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 100000, "handles": 0, "born": w.born})
		return
	case "/kv-events":
		ms, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		select {
		case <-time.After(time.Duration(ms) * time.Millisecond):
		case <-r.Context().Done():
		}
		writeJSON(rw, map[string]any{"boot_epoch": w.born, "next": 1, "lost": false, "events": []any{}, "born": w.born})
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	w.stream(rw, r, id)
}

const (
	// Streams have streamEvents events, one each eventInterval.
	streamEvents  = 20
	eventInterval = 30 * time.Millisecond
	// restartTime is the time after which a crashed engine is back.
	restartTime = 2 * time.Second
	// deadlyPart is the part of a prompt that crashes engines.
	deadlyPart = "dead0001"
	// stableWindow is stable_window_ms of the deployments in force.
	stableWindow = 3 * time.Second
)

func (w *worker) stream(rw http.ResponseWriter, r *http.Request, id string) {
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		first = n + 1
	}
	deadly := strings.Contains(r.Header.Get("Prefix-Hash"), deadlyPart+":")
	w.host.d.logf("worker %s runs %s from event %d, deadly part: %v", w.id, id, first, deadly)
	if deadly {
		w.host.d.countArrival(id)
	}
	rw.Header().Set("Request-Id", id)
	rw.Header().Set("Server-Stamp", w.id+"."+id)
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("Weight-Versions", "1")
	flusher := http.NewResponseController(rw)
	if deadly && !afterEvent {
		_ = flusher.Flush() // The crash follows in any case.
		time.Sleep(crashDelay)
		w.crash(id)
		return
	}
	for n := first; n <= streamEvents; n++ {
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: token %d\n\n", n, n); err != nil || flusher.Flush() != nil {
			return
		}
		if deadly {
			time.Sleep(crashDelay) // The event is on its way when the engine crashes.
			w.crash(id)
			return
		}
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			return
		}
	}
}

// afterEvent is whether engines send the first event of an answer before they crash, or only its head.
var afterEvent = os.Getenv("AFTER_EVENT") != "0"

// crashDelay is the time from the beginning of the answer until the engine crashes.
const crashDelay = 3 * time.Millisecond

// countCrash records a crash of an engine by a request with the deadly part.
func (d *deployment) countCrash(worker, request string) {
	d.mu.Lock()
	d.crashes++
	n := d.crashes
	if n == 5 {
		d.fifthCrashAt = time.Now()
	}
	d.mu.Unlock()
	d.logf("worker %s crashes because of %s, crash %d", worker, request, n)
}

// countArrival records that a request with the deadly part reached an engine.
func (d *deployment) countArrival(request string) {
	d.mu.Lock()
	late := !d.fifthCrashAt.IsZero() && time.Since(d.fifthCrashAt) > stableWindow
	if late {
		d.lateArrivals++
	}
	d.mu.Unlock()
	if late {
		d.logf("BROKEN after three of these: %s with the deadly part reaches an engine later than %s after the fifth crash", request, stableWindow)
	}
}

func writeJSON(rw http.ResponseWriter, body any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(body)
}

// answer is what a caller got for one stream.
type answer struct {
	deadly bool
	events int
	status string
	sentAt time.Time
}

// ask sends a request and reads its stream.
func (d *deployment) ask(f *front, id string, deadly bool) answer {
	a := answer{deadly: deadly, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	own, shared := fmt.Sprintf("%x", rand.Uint64()), fmt.Sprintf("b%d", rand.IntN(8))
	parts := "5c1e07a2:800," + shared + ":400,"
	if deadly {
		parts += deadlyPart + ":200,"
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.callers+"/ask/x", bytes.NewReader([]byte(`{"prompt":"`+own+`"}`)))
	if err != nil {
		panic(err)
	}
	r.Host = hostname
	for name, value := range map[string]string{"Request-Id": id, "Deadline-Ms": "6000", "Authorization": "Token " + apiKey, "Model": model,
		"Token-Count": "1600,20", "Prefix-Hash": parts + own + ":200"} {
		r.Header.Set(name, value)
	}
	d.logf("caller sends %s to %s, deadly part: %v", id, f.name, deadly)
	response, err := client.Do(r)
	if err != nil {
		a.status = "no answer"
		d.logf("caller gets for %s no answer", id)
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.status = strconv.Itoa(response.StatusCode)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data: ") {
			a.events++
		}
	}
	if lines.Err() != nil {
		a.status += " broken off"
	}
	d.logf("caller gets for %s status %s, %d events", id, a.status, a.events)
	return a
}

var client = &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}

func config() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{{"name": "ask", "host": hostname, "path_prefix": "/ask/", "route_type": "stream", "service": "llm", "timeout_ms": 6000,
			"target_latency_ms": 600, "target_gap_ms": 300, "priority": 1, "max_attempts": 2, "resumable": true, "sticky": true}},
		"services": []map[string]any{{"name": "llm", "max_connections": 370, "engine": map[string]any{
			"slots": 64, "kv_capacity_tokens": 104328, "kv_token_bytes": 163840, "models": []map[string]any{{"name": model, "version": 1}}}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "open", "api_keys": []string{apiKey}}},
	}
}

// TestMain plays the case. Its exit code is that of run.sh.
func TestMain(*testing.M) { os.Exit(play()) }

func play() (code int) {
	d := newDeployment(config())
	defer d.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	for n := range 8 {
		(&host{d: d, name: strconv.Itoa(n)}).start()
	}
	network := fmt.Sprintf("127.%d.%d", 80+rand.IntN(40), 1+os.Getpid()%250)
	for range 2 {
		d.addFront(network)
	}
	for _, f := range d.fronts {
		f.start()
	}
	if !d.waitReady() {
		d.logf("routers are not ready")
		return couldNotRun
	}
	var mu sync.Mutex
	var answers []answer
	var callers sync.WaitGroup
	begin := time.Now()
	for n := 0; time.Since(begin) < 26*time.Second; n++ {
		time.Sleep(25 * time.Millisecond)
		since := time.Since(begin)
		deadly := trouble && n%20 == 0 && since > 4*time.Second && since < 26*time.Second
		callers.Go(func() {
			a := d.ask(d.fronts[n%len(d.fronts)], fmt.Sprintf("%016x", rand.Uint64()), deadly)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
	}
	callers.Wait()
	sound, complete, lost := 0, 0, 0
	for _, a := range answers {
		if a.deadly {
			continue
		}
		sound++
		if a.events == streamEvents {
			complete++
		} else if strings.Contains(a.status, "broken") {
			lost++
		}
	}
	summary := fmt.Sprintf("%d crashes, %d requests with the deadly part reached engines later than %s after the fifth (rule: not more than 3); %d sound streams, %d complete, %d broken off",
		d.crashes, d.lateArrivals, stableWindow, sound, complete, lost)
	d.logf("%s", summary)
	fmt.Println(summary)
	switch {
	case complete < sound/4:
		return couldNotRun
	case d.lateArrivals > 3:
		return broken
	}
	return held
}

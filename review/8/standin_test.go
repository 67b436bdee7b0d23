//go:build review

// Package review8 is the stand-in of review case 8: callers, engines and the platform's store. Engines are
// replaced by newer software, and a router is killed soon after.
package review8

import (
	"bufio"
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
	workers   []*worker
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

// worker is a model engine.
type worker struct {
	d           *deployment
	id, version string
	address     string
	born        int64

	mu       sync.Mutex
	sequence uint64
}

// startWorker starts an engine and registers it.
func (d *deployment) startWorker(version string) *worker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	w := &worker{d: d, id: fmt.Sprintf("i-%d", len(d.workers)+1), version: version, address: l.Addr().String(), born: time.Now().UnixMilli()}
	d.workers = append(d.workers, w)
	go func() { _ = http.Serve(l, w) }()
	w.register("ready")
	return w
}

// register writes the entry of the engine.
func (w *worker) register(state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	w.d.store.Put("servers", w.id, map[string]any{
		"service": "llm", "address": w.address, "zone": "a", "version": w.version, "slots": 64, "state": state, "cold_remaining_ms": 0,
		"sequence": w.sequence, "born": w.born, "models": []map[string]any{{"name": model, "version": 1, "adapters": []string{}}},
	})
	w.d.logf("worker %s, software %s, is %s", w.id, w.version, state)
}

// replace starts an engine with newer software and then drains this one, which goes on with what it
// runs.
func (w *worker) replace(version string) *worker {
	next := w.d.startWorker(version)
	w.register("draining")
	return next
}

// ServeHTTP serves the engine API and streams.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	version, born := w.version, w.born
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
			"busy": false, "sequence": 0, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 100000, "handles": 0, "born": born})
		return
	case "/kv-events":
		ms, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		select {
		case <-time.After(time.Duration(ms) * time.Millisecond):
		case <-r.Context().Done():
		}
		writeJSON(rw, map[string]any{"boot_epoch": born, "next": 1, "lost": false, "events": []any{}, "born": born})
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	w.stream(rw, r, id, version)
}

// Streams have streamEvents events, one each eventInterval.
const (
	streamEvents  = 73
	eventInterval = 190 * time.Millisecond
)

func (w *worker) stream(rw http.ResponseWriter, r *http.Request, id, version string) {
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		first = n + 1
	}
	w.d.logf("worker %s (%s) runs %s from event %d", w.id, version, id, first)
	rw.Header().Set("Request-Id", id)
	rw.Header().Set("Server-Stamp", w.id+"."+id)
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("Weight-Versions", "1")
	flusher := http.NewResponseController(rw)
	for n := first; n <= streamEvents; n++ {
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: token %d of %s\n\n", n, n, version); err != nil || flusher.Flush() != nil {
			return
		}
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(rw http.ResponseWriter, body any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(body)
}

// answer is what a caller got for one stream.
type answer struct {
	sentAt time.Time
	router *front
	// began is true if the stream's first event arrived, takenUp if the caller has taken the broken
	// stream up, and wentOn if it then got the next event.
	began, takenUp, wentOn bool
	last                   int
	version                string
	takeUpStatus           string
}

// ask sends a request and reads its stream. If it breaks, the caller takes it up at another router.
func (d *deployment) ask(f, other *front, id string) answer {
	a := answer{sentAt: time.Now(), router: f}
	part := fmt.Sprintf("%x", rand.Uint64())
	status, complete := d.try(f, id, part, "", &a)
	a.began = a.last > 0
	if complete || !a.began || status != "200" {
		return a
	}
	last := a.last
	a.takenUp = true
	a.takeUpStatus, _ = d.try(other, fmt.Sprintf("%016x", rand.Uint64()), part, id, &a)
	a.wentOn = a.last > last
	return a
}

// try sends a request once: a new one, or one that takes up the stream that another one began.
func (d *deployment) try(f *front, id, part, resumes string, a *answer) (status string, complete bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Until(a.sentAt.Add(deadline)))
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.callers+"/ask/x", strings.NewReader(`{"prompt":"`+part+`"}`))
	if err != nil {
		panic(err)
	}
	r.Host = hostname
	headers := map[string]string{"Request-Id": id, "Deadline-Ms": strconv.Itoa(int(time.Until(a.sentAt.Add(deadline)).Milliseconds())),
		"Authorization": "Token " + apiKey, "Model": model, "Token-Count": "400,73", "Prefix-Hash": "5c1e07a2:200," + part + ":200"}
	if resumes != "" {
		headers["Last-Event-Id"], headers["Resumes"] = strconv.Itoa(a.last), resumes
	}
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	d.logf("caller sends %s to %s, resumes %q after event %d", id, f.name, resumes, a.last)
	response, err := client.Do(r)
	if err != nil {
		d.logf("caller gets for %s no answer", id)
		return "no answer", false
	}
	defer func() { _ = response.Body.Close() }()
	status = strconv.Itoa(response.StatusCode)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		var n int
		var version string
		if _, err := fmt.Sscanf(lines.Text(), "data: token %d of %s", &n, &version); err == nil {
			a.last = n
			if a.version == "" {
				a.version = version
			}
		}
	}
	d.logf("caller gets for %s status %s up to event %d, broken off: %v", id, status, a.last, lines.Err() != nil)
	return status, lines.Err() == nil
}

// deadline is how long callers wait.
const deadline = 15 * time.Second

var client = &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}

func config() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{{"name": "ask", "host": hostname, "path_prefix": "/ask/", "route_type": "stream", "service": "llm", "timeout_ms": 15000,
			"target_latency_ms": 400, "target_gap_ms": 300, "priority": 0, "max_attempts": 2, "resumable": true, "sticky": true}},
		"services": []map[string]any{{"name": "llm", "max_connections": 370, "engine": map[string]any{
			"slots": 64, "kv_capacity_tokens": 104328, "kv_token_bytes": 163840, "models": []map[string]any{{"name": model, "version": 1}}}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "open", "api_keys": []string{apiKey}}},
	}
}

// TestMain plays the case. Its exit code is that of run.sh.
func TestMain(*testing.M) { os.Exit(play()) }

// engines is the number of engines that are ready at any time.
const engines = 16

func play() (code int) {
	d := newDeployment(config())
	defer d.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	var ready []*worker
	for range engines {
		ready = append(ready, d.startWorker("v1"))
	}
	network := fmt.Sprintf("127.%d.%d", 80+rand.IntN(40), 1+os.Getpid()%250)
	for range 3 {
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
	stop := make(chan struct{})
	callers.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			f, other := d.fronts[n%3], d.fronts[(n+1+n/3%2)%3]
			callers.Go(func() {
				a := d.ask(f, other, fmt.Sprintf("%016x", rand.Uint64()))
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			})
		}
	})
	time.Sleep(15 * time.Second)
	// Three releases, of half of the engines each. Two engines keep the first software.
	for i, left := range []int{engines / 2, engines / 4, engines / 8} {
		version := fmt.Sprintf("v%d", i+2)
		d.logf("release of software %s", version)
		v1, newer := ready[:2*left], ready[2*left:]
		for n := left; n < len(v1); n++ {
			v1[n] = v1[n].replace(version)
		}
		for n := range (engines - 2*left) / 2 {
			newer[n] = newer[n].replace(version)
		}
		time.Sleep([]time.Duration{1200, 1200, 800}[i] * time.Millisecond)
	}
	// Routers that are sound get the new streams that the take-ups are compared with.
	killedAt := time.Now()
	if trouble {
		d.logf("router %s is killed", d.fronts[0].name)
		_ = d.fronts[0].cmd.Process.Kill()
		<-d.fronts[0].exited
		time.Sleep(500 * time.Millisecond)
		d.fronts[0].start()
	}
	time.Sleep(3 * time.Second)
	close(stop)
	callers.Wait()
	takenUp, wentOn, refused, fresh, began := 0, 0, 0, 0, 0
	versions := map[string]int{}
	for _, a := range answers {
		if a.takenUp {
			takenUp++
			versions[a.version]++
			if a.wentOn {
				wentOn++
			} else {
				refused++
			}
		}
		if a.router != d.fronts[0] || a.sentAt.Before(killedAt) {
			fresh++
			if a.began {
				began++
			}
		}
	}
	summary := fmt.Sprintf("of %d streams that callers took up again (by software %v), %d went on; of %d new ones at sound routers %d began", takenUp, versions, wentOn, fresh, began)
	d.logf("%s", summary)
	fmt.Println(summary)
	switch {
	case fresh == 0 || began < fresh/2:
		return couldNotRun
	case takenUp >= 12 && 2*wentOn*fresh < takenUp*began:
		return broken
	}
	return held
}

//go:build review

// Package review9 is the stand-in of review case 9: callers, a plain service with few workers and the
// platform's store. One request crashes each worker that begins to run it, and comes again and again.
package review9

import (
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
	// crashes and lateArrivals count crashes, and deadly requests that reached workers later than
	// stableWindow after the third.
	crashes, lateArrivals int
	thirdCrashAt          time.Time
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

// worker is a worker of a plain service on one address. After a crash it starts again.
type worker struct {
	d       *deployment
	name    string
	address string

	mu     sync.Mutex
	boots  int
	id     string
	server *http.Server
}

// startWorker starts a worker and registers it.
func (d *deployment) startWorker(name string) {
	w := &worker{d: d, name: name, address: "127.0.0.1:" + freePort("127.0.0.1")}
	w.start()
}

// start starts the process of the worker. It registers at once, as a ping may come up to a heartbeat
// later.
func (w *worker) start() {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		panic(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.boots++
	if before := w.id; before != "" && !keepID {
		w.d.store.Remove("servers", before)
	}
	w.id = "i-" + w.name
	if !keepID {
		w.id += "-" + strconv.Itoa(w.boots)
	}
	b := &boot{worker: w, id: w.id, server: &http.Server{}}
	b.server.Handler = b
	go func() { _ = b.server.Serve(l) }()
	w.d.store.Put("servers", w.id, map[string]any{
		"service": "app", "address": w.address, "zone": "a", "version": "v1", "slots": 6, "state": "ready", "cold_remaining_ms": 0,
		"sequence": 1, "born": time.Now().UnixMilli(),
	})
	w.d.logf("worker %s starts at %s, start %d", w.id, w.address, w.boots)
}

// boot is one start of a worker.
type boot struct {
	worker *worker
	id     string
	server *http.Server
	once   sync.Once
}

// crash ends the boot: its connections break. The worker is back after restartTime.
func (b *boot) crash(request string) {
	b.once.Do(func() {
		b.worker.d.countCrash(b.id, request)
		_ = b.server.Close()
		time.AfterFunc(restartTime, b.worker.start)
	})
}

const (
	// restartTime is the time after which a crashed worker is back.
	restartTime = 2 * time.Second
	// workTime is what a sound request takes.
	workTime = 100 * time.Millisecond
	// stableWindow is stable_window_ms of the deployments in force.
	stableWindow = 3 * time.Second
	// deadlyBody is the body of the request that crashes workers.
	deadlyBody = "deadly"
)

// ServeHTTP runs requests.
func (b *boot) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	d, id := b.worker.d, r.Header.Get("Request-Id")
	rw.Header().Set("Request-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != b.id {
		rw.Header().Set("Instance-Id", b.id)
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	deadly := string(body) == deadlyBody
	d.logf("worker %s runs %s, deadly: %v", b.id, id, deadly)
	if deadly {
		d.countArrival(id)
		b.crash(id)
		return
	}
	select {
	case <-time.After(workTime):
	case <-r.Context().Done():
		d.logf("worker %s breaks off %s", b.id, id)
		return
	}
	rw.Header().Set("Server-Stamp", b.id+"."+id)
	_, _ = io.WriteString(rw, "answer to "+id)
}

// countCrash records a crash of a worker.
func (d *deployment) countCrash(worker, request string) {
	d.mu.Lock()
	d.crashes++
	n := d.crashes
	if n == 3 {
		d.thirdCrashAt = time.Now()
	}
	d.mu.Unlock()
	d.logf("worker %s crashes because of %s, crash %d", worker, request, n)
}

// countArrival records that the deadly request reached a worker.
func (d *deployment) countArrival(request string) {
	d.mu.Lock()
	late := !d.thirdCrashAt.IsZero() && time.Since(d.thirdCrashAt) > stableWindow
	if late {
		d.lateArrivals++
	}
	d.mu.Unlock()
	if late {
		d.logf("BROKEN after three of these: deadly request %s reaches a worker later than %s after the third crash", request, stableWindow)
	}
}

// answer is what a caller got.
type answer struct {
	deadly bool
	status string
	lost   bool
}

// post sends a non-idempotent request.
func (d *deployment) post(f *front, id string, deadly bool) answer {
	a := answer{deadly: deadly}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	body := "entry " + id
	if deadly {
		body = deadlyBody
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.callers+"/post/x", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = hostname
	for name, value := range map[string]string{"Request-Id": id, "Deadline-Ms": "1000", "Authorization": "Token " + apiKey} {
		r.Header.Set(name, value)
	}
	d.logf("caller sends %s to %s, deadly: %v", id, f.name, deadly)
	response, err := client.Do(r)
	if err != nil {
		a.status = "no answer"
	} else {
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status = strconv.Itoa(response.StatusCode)
		if err != nil {
			a.status += " broken off"
		}
		if response.StatusCode == http.StatusOK && string(text) != "answer to "+id {
			a.status += " wrong body"
		}
	}
	d.logf("caller gets for %s %s", id, a.status)
	return a
}

var client = &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}

func config() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{{"name": "post", "host": hostname, "path_prefix": "/post/", "route_type": "non_idempotent", "service": "app", "timeout_ms": 1000,
			"target_latency_ms": 150, "priority": 2, "max_attempts": 1}},
		"services": []map[string]any{{"name": "app", "max_connections": 110}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "open", "api_keys": []string{apiKey}}},
	}
}

// TestMain plays the case. Its exit code is that of run.sh.
func TestMain(*testing.M) { os.Exit(play()) }

// keepID is whether a worker starts again under the ID that it had.
var keepID = os.Getenv("KEEP_ID") != "0"

func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

func play() (code int) {
	d := newDeployment(config())
	defer d.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	for n := range envInt("WORKERS", 2) {
		d.startWorker(strconv.Itoa(n + 1))
	}
	network := fmt.Sprintf("127.%d.%d", 80+rand.IntN(40), 1+os.Getpid()%250)
	for range envInt("ROUTERS", 2) {
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
	begin, length := time.Now(), time.Duration(envInt("LENGTH", 40))*time.Second
	for n := 0; time.Since(begin) < length; n++ {
		time.Sleep(20 * time.Millisecond)
		deadly := trouble && n%envInt("EACH", 50) < len(d.fronts) && time.Since(begin) > 4*time.Second
		callers.Go(func() {
			a := d.post(d.fronts[n%len(d.fronts)], fmt.Sprintf("%016x", rand.Uint64()), deadly)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
	}
	callers.Wait()
	sound, served, refused, lost := 0, 0, 0, 0
	for _, a := range answers {
		if a.deadly {
			continue
		}
		sound++
		switch a.status {
		case "200":
			served++
		case "503", "429":
			refused++
		default:
			lost++
		}
	}
	summary := fmt.Sprintf("%d crashes, the deadly request reached workers %d times later than %s after the third (rule: not more than 3); %d sound requests, %d served, %d refused, %d without a result",
		d.crashes, d.lateArrivals, stableWindow, sound, served, refused, lost)
	d.logf("%s", summary)
	fmt.Println(summary)
	switch {
	case served == 0:
		return couldNotRun
	case d.lateArrivals > 3:
		return broken
	}
	return held
}

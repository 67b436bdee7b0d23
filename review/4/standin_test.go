//go:build review

// Package refused plays a worker that answers requests which it has run with a failure that
// looks like a refusal.
package refused

import (
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

// Exit codes of the case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

const (
	workers = 4
	// One of four workers is a share of 0.25; a share of 0.15, rounded up, is also one.
	failingWorkers = 1
	failingAnswers = 0.4
	workTime       = 30 * time.Millisecond
	entries        = 300
	pause          = 40 * time.Millisecond // 25 postings a second
	readyTimeout   = 20 * time.Second
	host           = "jepu9.example"
	key            = "key-1"
)

var client = &http.Client{Timeout: 6 * time.Second}

type run struct {
	mu    sync.Mutex
	file  *os.File
	at    time.Time
	store platform.Store
	dir   string
	cmd   *exec.Cmd
	// ran counts the runs of each request, and posted those of each entry.
	ran, posted map[string]int
	// promised are the requests that were answered 503 or 429.
	promised       []string
	sent, answered int
}

func (r *run) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addLocked(format, args...)
}

func (r *run) addLocked(format string, args ...any) {
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.at).Seconds(), fmt.Sprintf(format, args...))
}

// worker is one worker of a plain service that may not be asked twice.
type worker struct {
	*run
	id string
	// failing is true for a worker that answers some requests with a failure after it has run
	// them.
	failing bool
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
		rw.Header().Set("Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Request-Id")
	body, _ := io.ReadAll(r.Body)
	w.mu.Lock()
	w.ran[id]++
	w.posted[string(body)]++
	w.addLocked("run %s at %s: %s", id, w.id, body)
	w.mu.Unlock()
	time.Sleep(workTime)
	rw.Header().Set("Request-Id", id)
	rw.Header().Set("Server-Stamp", w.id+"."+id)
	if w.failing && rand.Float64() < failingAnswers {
		// The answer has no Not-Executed, as the request has run.
		w.add("answer %s at %s: 503 without Not-Executed", id, w.id)
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(rw, "answer to "+id)
}

// post sends one entry as a sound client does: after a promise that the request has not run it
// tries once more, with a new id on a new channel.
func (r *run) post(front, entry string) {
	for attempt := 1; attempt <= 2; attempt++ {
		id := fmt.Sprintf("%s-%d", entry, attempt)
		status, wait, err := send(front, id, entry)
		r.mu.Lock()
		r.addLocked("send %s: %d %v", id, status, err)
		r.sent++
		if status == http.StatusOK && err == nil {
			r.answered++
		}
		promised := err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
		if promised {
			r.promised = append(r.promised, id)
		}
		r.mu.Unlock()
		if !promised {
			return
		}
		time.Sleep(wait)
	}
}

func send(front, id, body string) (status int, retryAfter time.Duration, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+front+"/lepu270/2f", strings.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	request.Host = host
	request.Close = true
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "1000")
	request.Header.Set("Authorization", "Token "+key)
	response, err := client.Do(request)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, min(time.Duration(seconds*float64(time.Second)), 300*time.Millisecond), err
}

func TestMain(*testing.M) {
	file, err := os.Create(filepath.Join(os.Getenv("CASE"), "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	r := &run{file: file, at: time.Now(), ran: map[string]int{}, posted: map[string]int{}}
	code, err := r.play()
	if r.cmd != nil && r.cmd.Process != nil {
		_ = r.cmd.Process.Kill()
		_ = r.cmd.Wait()
	}
	if err != nil {
		r.add("not run: %v", err)
		fmt.Println(err)
	}
	_ = os.RemoveAll(r.dir)
	os.Exit(code)
}

func (r *run) play() (int, error) {
	var err error
	if r.dir, err = os.MkdirTemp("", "review"); err != nil {
		return exitNotRun, err
	}
	r.store.Put("config", "main", manifest())
	storeAddress, err := serve(&r.store)
	if err != nil {
		return exitNotRun, err
	}
	for i := range workers {
		w := &worker{run: r, id: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), failing: i < failingWorkers && os.Getenv("TROUBLE") != "0"}
		address, err := serve(w)
		if err != nil {
			return exitNotRun, err
		}
		r.store.Put("servers", w.id, map[string]any{
			"service": "records-app", "address": address, "zone": "a", "version": "v1", "slots": 6, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
		})
	}
	front, err := r.startFront(storeAddress)
	if err != nil {
		return exitNotRun, err
	}
	var clients sync.WaitGroup
	for n := range entries {
		clients.Go(func() { r.post(front, fmt.Sprintf("entry-%d", n)) })
		time.Sleep(pause)
	}
	clients.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	untrue, doubled := 0, 0
	for _, id := range r.promised {
		if r.ran[id] > 0 {
			untrue++
			r.addLocked("REFUSED: %s was answered with a promise that it has not run, and ran", id)
		}
	}
	for entry, n := range r.posted {
		if n > 1 {
			doubled++
			r.addLocked("%s was posted %d times", entry, n)
		}
	}
	summary := fmt.Sprintf("%d sent, %d answered with success, %d refused, %d of these have run, %d entries posted twice", r.sent, r.answered, len(r.promised), untrue, doubled)
	r.addLocked("%s", summary)
	fmt.Println(summary)
	switch {
	case r.answered == 0:
		return exitNotRun, nil
	case untrue > 0:
		return exitBroken, nil
	}
	return exitHeld, nil
}

// manifest has the route of postings.
func manifest() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "recovery-post", "host": host, "path_prefix": "/lepu270/", "route_type": "non_idempotent", "service": "records-app",
			"timeout_ms": 1000, "target_latency_ms": 150, "priority": 2, "max_attempts": 1,
		}},
		"services": []any{map[string]any{"name": "records-app", "max_connections": 110}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "sese880", "api_keys": []string{key}}},
	}
}

func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String(), nil
}

// startFront starts the process with the command and the template of the deploy file, and
// returns its address for clients.
func (r *run) startFront(store string) (string, error) {
	var addresses [4]string
	var listeners []net.Listener
	for i := range addresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		addresses[i] = l.Addr().String()
		listeners = append(listeners, l)
	}
	template, err := os.ReadFile("deploy/router.json.tmpl")
	if err != nil {
		return "", err
	}
	quote := strconv.Quote
	text := strings.NewReplacer(
		"{{node_name|json}}", quote("front-0"), "{{zone|json}}", quote("a"), "{{region|json}}", quote("r"),
		"{{listen.front|json}}", quote(addresses[0]), "{{listen.ready|json}}", quote(addresses[1]), "{{listen.control|json}}", quote(addresses[2]),
		"{{platform.address|json}}", quote(store), "{{bounds.retry_budget_ratio|json}}", "0.2", "{{bounds.retry_budget_slack|json}}", "56",
		"{{bounds.budget_window_s}}", "10", "{{bounds.version_ms}}", "8000", "{{bounds.lease_ms}}", "3000",
		"{{seeds|json}}", "[]", "{{ip|json}}", quote("127.0.0.1"), "{{ip}}:9464", addresses[3],
	).Replace(string(template))
	settings := filepath.Join(r.dir, "node.json")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return "", err
	}
	for _, l := range listeners {
		_ = l.Close()
	}
	return addresses[0], r.start(settings, addresses[1])
}

func (r *run) start(settings, ready string) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if r.cmd == nil {
			r.cmd = exec.Command("target/arbutus-front", "--settings", settings, "--stop-timeout", "7s")
			r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
			if err := r.cmd.Start(); err != nil {
				return err
			}
		}
		response, err := client.Get("http://" + ready + "/readyz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("front-0 is not ready")
}

//go:build review

// Package isolated plays a manifest that isolates a tenant whose prompt parts an engine has
// cached before.
package isolated

import (
	"encoding/json"
	"fmt"
	"io"
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
	engines      = 2
	prompts      = 8
	configTime   = 2 * time.Second // config_ms
	readyTimeout = 20 * time.Second
	host         = "jepu9.example"
	model        = "daka510000"
	firstKey     = "key-first"
	secondKey    = "key-second"
	first        = "sese880"
	second       = "tato112"
)

var client = &http.Client{Timeout: 6 * time.Second}

type run struct {
	mu    sync.Mutex
	file  *os.File
	at    time.Time
	store platform.Store
	dir   string
	cmd   *exec.Cmd
	// isolated is whether the newest manifest isolates the first tenant.
	isolated bool
	crossed  int
	answered int
}

func (r *run) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addLocked(format, args...)
}

func (r *run) addLocked(format string, args ...any) {
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.at).Seconds(), fmt.Sprintf(format, args...))
}

// engine is a model worker. It caches the parts of prompts under their salt, and finds a part
// only if it holds all parts before it.
type engine struct {
	*run
	id string
	// makers maps salt and part to the tenant whose request made the part.
	makers map[string]string
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		writeJSON(w, map[string]any{"stage": "both", "models": models(), "busy": false, "sequence": 0, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 104328, "handles": 0})
	case "/kv-events":
		select {
		case <-time.After(800 * time.Millisecond):
		case <-r.Context().Done():
		}
		writeJSON(w, map[string]any{"boot_epoch": 7, "next": 1, "lost": false, "events": []any{}})
	default:
		e.serve(w, r)
	}
}

func models() []any {
	return []any{map[string]any{"name": model, "version": 1, "adapters": []string{}}}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id, tenant, salt := r.Header.Get("Request-Id"), r.Header.Get("Tenant"), r.Header.Get("Cache-Salt")
	e.readPrompt(id, tenant, salt, strings.Split(r.Header.Get("Prefix-Hash"), ","))
	h := w.Header()
	h.Set("Request-Id", id)
	h.Set("Server-Stamp", e.id+"."+id)
	h.Set("Weight-Versions", "1")
	h.Set("Content-Type", "text/event-stream")
	for n := 1; n <= 5; n++ {
		fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(5 * time.Millisecond)
	}
}

// readPrompt reads the parts of a prompt that are not cached and records which are used.
func (e *engine) readPrompt(id, tenant, salt string, parts []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	cached := true
	for _, part := range parts {
		key := salt + " " + part
		maker, known := e.makers[key]
		if cached = cached && known; !cached {
			e.makers[key] = tenant
			e.addLocked("run %s of %s at %s, salt %q: read part %s", id, tenant, e.id, salt, part)
			continue
		}
		e.addLocked("run %s of %s at %s, salt %q: used part %s made by %s", id, tenant, e.id, salt, part, maker)
		if maker != tenant && e.isolated && (maker == first || tenant == first) {
			e.crossed++
			e.addLocked("WALL: %s of %s used a part that a request of %s made, and %s is isolated", id, tenant, maker, first)
		}
	}
}

func (r *run) send(front, id, key string, prompt int) {
	request, err := http.NewRequest(http.MethodPost, "http://"+front+"/lepu270/2f", strings.NewReader("prompt"))
	if err != nil {
		panic(err)
	}
	request.Host = host
	for name, value := range map[string]string{
		"Request-Id": id, "Model": model, "Token-Count": "1460,5", "Deadline-Ms": "6000", "Authorization": "Token " + key,
		"Prefix-Hash": fmt.Sprintf("5c1e%04x:800,91bd%04x:410,%s:250", prompt, prompt, fmt.Sprintf("%x", id)),
	} {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		r.add("send %s: %v", id, err)
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	r.add("send %s: %d, %d bytes, %v", id, response.StatusCode, len(body), err)
	if response.StatusCode == http.StatusOK && err == nil {
		r.answered++
	}
}

func (r *run) putManifest(version int, isolated bool) {
	r.store.Put("config", "main", map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "logbook-audit", "host": host, "path_prefix": "/lepu270/", "route_type": "stream", "service": "ledger-llm", "sticky": true,
			"timeout_ms": 6000, "target_latency_ms": 600, "target_gap_ms": 300, "priority": 1, "max_attempts": 1,
		}},
		"services": []any{map[string]any{"name": "ledger-llm", "max_connections": 370, "engine": map[string]any{
			"slots": 64, "kv_capacity_tokens": 104328, "kv_token_bytes": 163840.0, "models": []any{map[string]any{"name": model, "version": 1}},
		}}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{
			map[string]any{"name": first, "api_keys": []string{firstKey}, "isolated": isolated},
			map[string]any{"name": second, "api_keys": []string{secondKey}, "isolated": false},
		},
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isolated = isolated
	r.addLocked("manifest %d acknowledged, %s isolated: %t", version, first, isolated)
}

func TestMain(*testing.M) {
	file, err := os.Create(filepath.Join(os.Getenv("CASE"), "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	r := &run{file: file, at: time.Now()}
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
	r.putManifest(3, false)
	r.store.Put("versions", model, map[string]any{"model": model, "version": 1})
	storeAddress, err := serve(&r.store)
	if err != nil {
		return exitNotRun, err
	}
	for i := range engines {
		e := &engine{run: r, id: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), makers: map[string]string{}}
		address, err := serve(e)
		if err != nil {
			return exitNotRun, err
		}
		r.store.Put("servers", e.id, map[string]any{
			"service": "ledger-llm", "address": address, "zone": "a", "version": "v1", "slots": 64, "state": "ready",
			"cold_remaining_ms": 0, "sequence": 1, "models": models(),
		})
	}
	front, err := r.startFront(storeAddress)
	if err != nil {
		return exitNotRun, err
	}
	for n := range prompts {
		r.send(front, fmt.Sprintf("before-%d", n), firstKey, n)
	}
	if os.Getenv("TROUBLE") != "0" {
		r.putManifest(5, true)
	}
	time.Sleep(2 * configTime)
	for n := range prompts {
		r.send(front, fmt.Sprintf("after-%d", n), secondKey, n)
	}
	summary := fmt.Sprintf("answered %d of %d, parts used across the wall %d", r.answered, 2*prompts, r.crossed)
	r.add("%s", summary)
	fmt.Println(summary)
	switch {
	case r.answered < 2*prompts:
		return exitNotRun, nil
	case r.crossed > 0:
		return exitBroken, nil
	}
	return exitHeld, nil
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

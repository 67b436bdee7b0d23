//go:build review

// Package silence shows what becomes of streams whose worker pauses while the front that
// forwards them is stopped. The test binary is a program of its own: run.sh starts it.
package silence

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/arbutusline/arbutusline/standin/platform"
)

const (
	folder = "review/14"
	// The figures of tech-query and of the sheet of kaayal-arbutus.
	objectiveMS, gapMS, timeoutMS      = 400, 300, 15000
	drainMS, configMS, versionMS       = 2000, 2000, 8000
	leaseMS, retrySlack, budgetWindowS = 3000, 56, 10
	retryRatio                         = 0.2
	grace                              = 8 * time.Second
	lossWindow                         = grace + time.Second

	streams       = 8
	events        = 30
	eventInterval = 100 * time.Millisecond
	// A worker preempts the newest streams after the event pauseAfter. Clients leave a stream after
	// a gap of 2 s, 4 objectives or 8 pauses of the sheet, whichever is longest: here 2.4 s.
	preempted  = 3
	pauseAfter = 10
	pause      = 1600 * time.Millisecond
	// calm is longer than stable_window_ms, 3 s.
	calm = 5 * time.Second
	// exitHeld, exitBroken and exitNotRun are the exit codes of run.sh.
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
)

func TestMain(*testing.M) { os.Exit(run()) }

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

// worker is a model worker: the project's stand-in for all but streams.
type worker struct {
	*platform.Endpoint
	record *recorder
	// pauses has the requests that the worker preempts.
	pauses map[string]bool
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); !strings.HasPrefix(r.URL.Path, "/ask/") || expected != "" && expected != w.ID {
		w.Endpoint.ServeHTTP(rw, r)
		return
	}
	id, first := r.Header.Get("Request-Id"), 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	w.record.add("worker %s runs %s from event %d", w.ID, id, first)
	h := rw.Header()
	h.Set("Request-Id", id)
	h.Set("Server-Stamp", w.ID+"."+id)
	h.Set("Content-Type", "text/event-stream")
	h.Set("Weight-Versions", "1")
	for n := first; n <= events; n++ {
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: token %d\n\n", n, n); err == nil {
			err = http.NewResponseController(rw).Flush()
		}
		wait := eventInterval
		if w.pauses[id] && n == pauseAfter {
			w.record.add("worker %s preempts %s after event %d for %s", w.ID, id, n, pause)
			wait = pause
		}
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			w.record.add("worker %s: the channel of %s was closed after event %d", w.ID, id, n)
			return
		}
	}
	w.record.add("worker %s has sent all events of %s", w.ID, id)
}

func configuration() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "tech-query", "host": platform.SampleHostname, "path_prefix": "/ask/", "route_type": "stream", "service": "llm",
			"timeout_ms": timeoutMS, "target_latency_ms": objectiveMS, "target_gap_ms": gapMS, "priority": 0, "max_attempts": 2, "resumable": true, "sticky": true,
		}},
		"services": []map[string]any{{"name": "llm", "max_connections": 370, "engine": map[string]any{
			"slots": 64, "kv_capacity_tokens": 104328, "kv_token_bytes": 163840, "models": []map[string]any{{"name": "m"}},
		}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "open", "api_keys": []string{"key-1"}}},
	}
}

// settingsFile fills in the template of the deploy file and returns the path of the result.
func settingsFile(dir, ip, storeAddress string, ports []string) (string, error) {
	template, err := os.ReadFile("deploy/router.json.tmpl")
	if err != nil {
		return "", err
	}
	values := map[string]any{
		"node_name": "front-a-1", "zone": "a", "region": "r", "ip": ip, "listen.front": ip + ":" + ports[0], "listen.ready": ip + ":" + ports[1],
		"listen.control": ip + ":" + ports[2], "platform.address": storeAddress, "seeds": []string{ip + ":" + ports[2]},
		"bounds.retry_budget_ratio": retryRatio, "bounds.retry_budget_slack": retrySlack, "bounds.budget_window_s": budgetWindowS,
		"bounds.version_ms": versionMS, "bounds.lease_ms": leaseMS,
	}
	text := regexp.MustCompile(`\{\{[^}]+\}\}`).ReplaceAllStringFunc(string(template), func(placeholder string) string {
		name, format, _ := strings.Cut(strings.Trim(placeholder, "{}"), "|")
		if format == "json" {
			encoded, _ := json.Marshal(values[name]) // The values above can be encoded.
			return string(encoded)
		}
		return fmt.Sprint(values[name])
	})
	path := filepath.Join(dir, "node.json")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// freePorts returns free ports of an address, and fails if the fixed port of the metrics is taken.
func freePorts(ip string, n int) ([]string, error) {
	metrics, err := net.Listen("tcp", ip+":9464")
	if err != nil {
		return nil, err
	}
	defer metrics.Close()
	var ports []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		_, port, _ := net.SplitHostPort(l.Addr().String())
		ports = append(ports, port)
	}
	return ports, nil
}

// serve serves a handler on a free port and returns its address.
func serve(handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, handler) }() // Ends with this process.
	return l.Addr().String(), nil
}

// outcome is what a client saw of a stream.
type outcome struct {
	id           string
	sentAt, end  time.Time
	status, last int
	err          error
}

func (o outcome) complete() bool {
	return o.status == http.StatusOK && o.err == nil && o.last == events
}

func streamID(i int) string { return fmt.Sprintf("s%04x", i+1) }

// stream sends a request on a channel of its own and reads the answer.
func stream(url, id string) outcome {
	o := outcome{id: id, sentAt: time.Now()}
	request, err := http.NewRequest(http.MethodPost, url+"/ask/x", strings.NewReader("prompt"))
	if err != nil {
		o.err, o.end = err, time.Now()
		return o
	}
	request.Host = platform.SampleHostname
	for name, value := range map[string]string{
		"Request-Id": id, "Deadline-Ms": strconv.Itoa(timeoutMS), "Authorization": "Token key-1", "Model": "m",
		"Token-Count": "300,200", "Prefix-Hash": "5c1e07a2:100,91bd3f06:50," + id[1:] + ":150",
	} {
		request.Header.Set(name, value)
	}
	response, err := (&http.Client{Transport: &http.Transport{}}).Do(request)
	if err != nil {
		o.err, o.end = err, time.Now()
		return o
	}
	defer response.Body.Close()
	o.status = response.StatusCode
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			o.last, _ = strconv.Atoi(text)
		}
	}
	o.err, o.end = lines.Err(), time.Now()
	return o
}

func run() int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer file.Close()
	record := &recorder{start: time.Now(), file: file}
	trouble := os.Getenv("TROUBLE") != "0"
	record.add("workers preempt streams: %t", trouble)
	code, err := play(record, trouble)
	if err != nil {
		record.add("the case could not run: %v", err)
		return exitNotRun
	}
	return code
}

func play(record *recorder, trouble bool) (int, error) {
	store := &platform.Store{}
	store.Put("config", "main", configuration())
	store.Put("versions", "m", map[string]any{"model": "m", "version": 1})
	storeAddress, err := serve(store)
	if err != nil {
		return 0, err
	}
	pauses := map[string]bool{}
	for i := streams - preempted; trouble && i < streams; i++ {
		pauses[streamID(i)] = true
	}
	// A release is under way: each software version has one worker.
	for i, software := range []string{"1.4.0", "1.5.0"} {
		w := &worker{Endpoint: &platform.Endpoint{ID: fmt.Sprintf("i-%d", i), Service: "llm", Model: "m", SoftwareVersion: software}, record: record, pauses: pauses}
		w.SetWeightsVersion(1)
		address, err := serve(w)
		if err != nil {
			return 0, err
		}
		entry := w.StoreEntry(address, "a", "ready")
		entry["slots"], entry["stage"], entry["born"] = 64, "both", time.Now().UnixMilli()
		store.Put("servers", w.ID, entry)
	}

	dir, err := os.MkdirTemp("", "review-14-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	ip := fmt.Sprintf("127.114.%d.%d", os.Getpid()/250%250+1, os.Getpid()%250+1)
	ports, err := freePorts(ip, 3)
	if err != nil {
		return 0, err
	}
	settings, err := settingsFile(dir, ip, storeAddress, ports)
	if err != nil {
		return 0, err
	}
	log, err := os.Create(filepath.Join(dir, "front.log"))
	if err != nil {
		return 0, err
	}
	defer log.Close()
	front := exec.Command("target/arbutus-front", "--settings", settings, "--stop-timeout", "7s",
		"--set", fmt.Sprintf("directory.configuration_deadline=%dms", configMS), "--set", fmt.Sprintf("directory.endpoint_deadline=%dms", drainMS))
	front.Stdout, front.Stderr = log, log
	front.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := front.Start(); err != nil {
		return 0, err
	}
	exited := make(chan error, 1)
	go func() {
		exited <- front.Wait()
		close(exited)
	}()
	defer func() {
		_ = front.Process.Kill() // It has exited unless the case failed.
		for range exited {
		}
	}()

	if err := waitReady("http://" + ip + ":" + ports[1] + "/readyz"); err != nil {
		return 0, err
	}
	url := "http://" + ip + ":" + ports[0]
	time.Sleep(calm)
	if probe := stream(url, "sffff"); probe.status != http.StatusOK {
		return 0, fmt.Errorf("the first stream got status %d, error %v", probe.status, probe.err)
	}

	outcomes := make(chan outcome, streams)
	for i := range streams {
		id := streamID(i)
		record.add("client sends %s", id)
		go func() { outcomes <- stream(url, id) }()
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(400 * time.Millisecond)
	stoppedAt := time.Now()
	record.add("SIGTERM to the front")
	if err := front.Process.Signal(syscall.SIGTERM); err != nil {
		return 0, err
	}
	lost := 0
	for range streams {
		o := <-outcomes
		sinceStop := o.end.Sub(stoppedAt)
		record.add("client: %s ended with status %d after event %d of %d, %.3f s after SIGTERM, error %v", o.id, o.status, o.last, events, sinceStop.Seconds(), o.err)
		if !o.complete() && o.status == http.StatusOK && sinceStop > 0 && sinceStop < lossWindow {
			lost++
		}
	}
	select {
	case err := <-exited:
		record.add("the front exited %.3f s after SIGTERM, error %v", time.Since(stoppedAt).Seconds(), err)
	case <-time.After(time.Until(stoppedAt.Add(grace))):
		record.add("the front runs after grace_s")
	}
	if lost > 0 {
		record.add("LOST broken: the front closed %d of %d channels without a complete answer, while the worker was to go on", lost, streams)
		return exitBroken, nil
	}
	record.add("LOST held: all streams are complete")
	return exitHeld, nil
}

func waitReady(url string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		if response, err := http.Get(url); err == nil {
			_ = response.Body.Close() // Only the status counts.
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the front is not ready: %w", ctx.Err())
}

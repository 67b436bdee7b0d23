//go:build review

// Package shortened shows at which software version streams go on that began before a release and
// before a manifest that shortens the timeout of their route. The test binary is a program of its
// own: run.sh starts it.
package shortened

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
	folder = "review/11"
	// The figures of tech-query and of the sheet of kaayal-arbutus.
	objectiveMS, gapMS, timeoutMS      = 400, 300, 15000
	drainMS, configMS, versionMS       = 2000, 2000, 8000
	leaseMS, retrySlack, budgetWindowS = 3000, 56, 10
	retryRatio                         = 0.2

	streams       = 12
	events        = 145
	eventInterval = 100 * time.Millisecond
	// shorterTimeoutMS is the timeout of the route in the second manifest.
	shorterTimeoutMS = 2000
	// releaseAfter, manifestAfter and exitAfter are the times from the first stream to the start of
	// the new worker, to the second manifest and to the exit of the old worker.
	releaseAfter, manifestAfter, exitAfter = 600 * time.Millisecond, 900 * time.Millisecond, 13 * time.Second
	// mixedAllowed is the number of streams of two versions that ORDER allows.
	mixedAllowed = 2
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

func configuration(version, timeoutMS int) map[string]any {
	return map[string]any{
		"version": version,
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

// seen is what a client has of a stream, over its tries.
type seen struct {
	last int
	// versions has the number of events of each software version.
	versions map[string]int
}

// stream sends a request and reads the answer to its end. It goes on after the last event seen.
func (s *seen) stream(url, id, resumes string, deadline time.Time) (status int, err error) {
	request, err := http.NewRequest(http.MethodPost, url+"/ask/x", strings.NewReader("prompt"))
	if err != nil {
		return 0, err
	}
	request.Host = platform.SampleHostname
	for name, value := range map[string]string{
		"Request-Id": id, "Deadline-Ms": strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10), "Authorization": "Token key-1", "Model": "m",
		"Token-Count": "300,200", "Prefix-Hash": "5c1e07a2:100,91bd3f06:50," + id[1:5] + ":150",
	} {
		request.Header.Set(name, value)
	}
	if resumes != "" {
		request.Header.Set("Last-Event-Id", strconv.Itoa(s.last))
		request.Header.Set("Resumes", resumes)
	}
	response, err := (&http.Client{Transport: &http.Transport{}}).Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, nil
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			s.last, _ = strconv.Atoi(text)
		}
		if text, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			_, version, _ := strings.Cut(text, " of ")
			s.versions[version]++
		}
	}
	return response.StatusCode, lines.Err()
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
	record.add("the timeout of the route is shortened: %t", trouble)
	code, err := play(record, trouble)
	if err != nil {
		record.add("the case could not run: %v", err)
		return exitNotRun
	}
	return code
}

func play(record *recorder, trouble bool) (int, error) {
	store := &platform.Store{}
	store.Put("config", "main", configuration(1, timeoutMS))
	store.Put("versions", "m", map[string]any{"model": "m", "version": 1})
	storeAddress, err := serve(store)
	if err != nil {
		return 0, err
	}
	type worker struct {
		entry  func(state string)
		server *http.Server
	}
	join := func(id, software string) (*worker, error) {
		e := &platform.Endpoint{ID: id, Service: "llm", Model: "m", SoftwareVersion: software, StreamEvents: events, EventInterval: eventInterval}
		e.SetWeightsVersion(1)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		w := &worker{server: &http.Server{Handler: e}}
		go func() { _ = w.server.Serve(l) }() // Ends when the worker exits.
		w.entry = func(state string) {
			entry := e.StoreEntry(l.Addr().String(), "a", state)
			entry["slots"], entry["stage"], entry["born"] = 64, "both", record.start.UnixMilli()
			store.Put("servers", id, entry)
			record.add("worker %s of software %s is %s", id, software, state)
		}
		w.entry("ready")
		return w, nil
	}
	old, err := join("i-0", "1.4.0")
	if err != nil {
		return 0, err
	}

	dir, err := os.MkdirTemp("", "review-11-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	ip := fmt.Sprintf("127.111.%d.%d", os.Getpid()/250%250+1, os.Getpid()%250+1)
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
	defer func() {
		_ = front.Process.Kill()
		_ = front.Wait()
	}()
	if err := waitReady("http://" + ip + ":" + ports[1] + "/readyz"); err != nil {
		return 0, err
	}
	url := "http://" + ip + ":" + ports[0]
	time.Sleep(calm)

	begin := time.Now()
	results := make(chan *seen, streams)
	for i := range streams {
		go func() {
			s, id, sentAt := &seen{versions: map[string]int{}}, fmt.Sprintf("s%04x", i+1), time.Now()
			deadline := sentAt.Add(timeoutMS * time.Millisecond)
			status, err := s.stream(url, id, "", deadline)
			record.add("client: %s ended with status %d after event %d, %.3f s after it was sent, error %v", id, status, s.last, time.Since(sentAt).Seconds(), err)
			if s.last > 0 && s.last < events {
				status, err = s.stream(url, id+"-r", id, deadline)
				record.add("client: %s taken up ended with status %d after event %d, %.3f s after it was sent, error %v", id, status, s.last, time.Since(sentAt).Seconds(), err)
			}
			record.add("client: %s has events of the software versions %v", id, s.versions)
			results <- s
		}()
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Until(begin.Add(releaseAfter)))
	if _, err := join("i-1", "1.5.0"); err != nil {
		return 0, err
	}
	old.entry("draining")
	time.Sleep(time.Until(begin.Add(manifestAfter)))
	if trouble {
		store.Put("config", "main", configuration(2, shorterTimeoutMS))
		record.add("manifest 2 is acknowledged: timeout_ms %d instead of %d", shorterTimeoutMS, timeoutMS)
	}
	time.Sleep(time.Until(begin.Add(exitAfter)))
	store.Remove("servers", "i-0")
	_ = old.server.Close() // The process of the worker ends.
	record.add("worker i-0 exits")
	begun, mixed := 0, 0
	for range streams {
		s := <-results
		if s.last > 0 {
			begun++
		}
		if len(s.versions) > 1 {
			mixed++
		}
	}
	record.add("%d of %d streams began, %d hold events of two software versions", begun, streams, mixed)
	if mixed > mixedAllowed {
		record.add("ORDER broken")
		return exitBroken, nil
	}
	record.add("ORDER held")
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

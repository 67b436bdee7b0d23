// Package replay sends a workload to routers in an open loop, checks each response
// against the deterministic output of the stand-ins (simulated engines and
// services), and compares the outcomes reported to callers with the stand-ins' audit
// logs.
package replay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/arbutusline/arbutusline/workload"
	"github.com/arbutusline/arbutusline/workload/answer"
)

// Config holds the parameters of a replay. Zero values mean defaults.
type Config struct {
	// RouterURLs are the base URLs of the routers, used round-robin. Required.
	RouterURLs []string
	// Workload generates the requests. Required.
	Workload *workload.Generator
	// MaxInFlight bounds concurrent requests. The latency of a request that has to
	// wait for a slot still counts from its intended send time. Default 1000.
	MaxInFlight int
	// RequestTimeout bounds one request including its retries. Default 1 minute.
	RequestTimeout time.Duration
	// MaxAttempts bounds how often a request is sent when it may be retried, for
	// example after a failed connection or the code "still_running". Default 5.
	MaxAttempts int
	// MaxResumes bounds the attempts to resume an interrupted stream. Default 5.
	MaxResumes int
	// RetryDelay is the delay before the second attempt; before attempt n+1 the delay
	// is n times as long. Default 200ms.
	RetryDelay time.Duration
	// DuplicatePercent is the percentage of non-idempotent requests that are sent
	// twice at the same time, to different routers. Default 0.
	DuplicatePercent int
	// ChatPercent is the percentage of completions that are sent as chat requests,
	// whose prompts share no prefix with those of other completions. Default 0.
	ChatPercent int
	// ProgressWriter, if set, receives a progress line every second.
	ProgressWriter io.Writer
}

func (c *Config) setDefaults() {
	setDefault(&c.MaxInFlight, 1000)
	setDefault(&c.RequestTimeout, time.Minute)
	setDefault(&c.MaxAttempts, 5)
	setDefault(&c.MaxResumes, 5)
	setDefault(&c.RetryDelay, 200*time.Millisecond)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Range in microseconds, and precision, of the histograms.
const (
	minRecordedMicros = 1
	maxRecordedMicros = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Histogram records durations with microsecond precision.
type Histogram struct{ micros *hdrhistogram.Histogram }

// NewHistogram returns an empty histogram for durations of up to 10 minutes.
func NewHistogram() Histogram {
	return Histogram{hdrhistogram.New(minRecordedMicros, maxRecordedMicros, significantDigits)}
}

// Record adds a duration, clamped to the range of the histogram.
func (h Histogram) Record(d time.Duration) {
	_ = h.micros.RecordValue(min(max(d.Microseconds(), minRecordedMicros), maxRecordedMicros))
}

// PercentileMS returns a percentile in milliseconds, or 0 when nothing was recorded.
func (h Histogram) PercentileMS(percentile float64) float64 {
	return float64(h.micros.ValueAtPercentile(percentile)) / 1000
}

// Count returns the number of recorded durations.
func (h Histogram) Count() int64 { return h.micros.TotalCount() }

// replayer is the state of one call of Run.
type replayer struct {
	cfg    Config
	client *http.Client
	start  time.Time

	mu            sync.Mutex
	records       []Record
	sentCount     int
	outcomeCounts map[Outcome]int
	badResponses  int
	ttft          Histogram
}

// Run sends all requests at their intended times and returns their records. It stops
// early when ctx is cancelled.
func Run(ctx context.Context, cfg Config) []Record {
	cfg.setDefaults()
	dialer := net.Dialer{Timeout: 5 * time.Second}
	r := &replayer{
		cfg: cfg,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: cfg.MaxInFlight,
			IdleConnTimeout:     30 * time.Second,
		}},
		start:         time.Now(),
		outcomeCounts: map[Outcome]int{},
		ttft:          NewHistogram(),
	}
	stop := r.startProgress()
	defer stop()
	defer r.client.CloseIdleConnections()
	r.sendAll(ctx)
	return r.records
}

func (r *replayer) sendAll(ctx context.Context) {
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	slots := make(chan struct{}, r.cfg.MaxInFlight)
	for {
		req, ok := r.cfg.Workload.Next()
		if !ok {
			return
		}
		intended := r.start.Add(req.SendAt)
		select {
		case <-time.After(time.Until(intended)):
		case <-ctx.Done():
			return
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		r.mu.Lock()
		r.sentCount++
		r.mu.Unlock()
		inFlight.Go(func() {
			r.addRecord(r.performRequest(ctx, &req, intended))
			<-slots
		})
	}
}

// performRequest performs a request, and its duplicate if it is to be sent twice.
func (r *replayer) performRequest(ctx context.Context, req *workload.Request, intended time.Time) Record {
	c := r.newCaller(req, intended)
	if req.Kind != workload.KindNonIdempotentCall || !inSample(req.Sequence, r.cfg.DuplicatePercent) {
		return c.run(ctx)
	}
	second := r.newCaller(req, intended)
	second.routerIndex++
	done := make(chan Record)
	go func() { done <- second.run(ctx) }()
	return mergeDuplicates(c.run(ctx), <-done)
}

// inSample selects percent of all sequence numbers, spread evenly.
func inSample(sequence, percent int) bool {
	// 61 is coprime to 100, so any 100 successive numbers give all remainders.
	return sequence*61%100 < percent
}

// mergeDuplicates combines the records of a request that was sent twice. It prefers
// the outcome of a send that completed, then that of a send that may have run.
func mergeDuplicates(a, b Record) Record {
	if b.Outcome == Completed || (a.Outcome == NotRun && b.Outcome != NotRun) {
		a, b = b, a
	}
	a.Attempts += b.Attempts
	a.BadResponse = a.BadResponse || b.BadResponse
	return a
}

func (r *replayer) newCaller(req *workload.Request, intended time.Time) *caller {
	c := &caller{cfg: &r.cfg, client: r.client, req: req, intendedSendTime: intended, routerIndex: req.Sequence}
	c.record = Record{
		Sequence: req.Sequence, Team: req.Team, Kind: req.Kind,
		CrashesEngine: req.CrashesEngine, IdempotencyKey: req.IdempotencyKey, Outcome: NoResponse, Code: codeConnectionFailed,
	}
	content := req.Content()
	if req.Kind == workload.KindCompletion && inSample(req.Sequence, r.cfg.ChatPercent) {
		c.asChat = true
		content = chatPrompt(content)
	}
	if content != "" {
		c.record.ContentHash = answer.ContentHash(content)
	}
	return c
}

func (r *replayer) addRecord(rec Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, rec)
	r.outcomeCounts[rec.Outcome]++
	if rec.BadResponse {
		r.badResponses++
	}
	if rec.TTFT > 0 {
		r.ttft.Record(rec.TTFT)
	}
}

// startProgress writes a progress line every second until stop is called.
func (r *replayer) startProgress() (stop func()) {
	if r.cfg.ProgressWriter == nil {
		return func() {}
	}
	done := make(chan struct{})
	ticker := time.NewTicker(time.Second)
	go func() {
		for {
			select {
			case <-ticker.C:
				fmt.Fprintln(r.cfg.ProgressWriter, r.progressLine())
			case <-done:
				return
			}
		}
	}()
	return func() {
		ticker.Stop()
		close(done)
	}
}

func (r *replayer) progressLine() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%4.0fs sent %d, in flight %d, completed %d, not run %d, unknown %d, cut streams %d, ttft p50 %.0f ms p99 %.0f ms",
		time.Since(r.start).Seconds(), r.sentCount, r.sentCount-len(r.records), r.outcomeCounts[Completed], r.outcomeCounts[NotRun],
		r.outcomeCounts[Unknown]+r.outcomeCounts[NoResponse], r.badResponses, r.ttft.PercentileMS(50), r.ttft.PercentileMS(99))
}

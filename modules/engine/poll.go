package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"

	"github.com/arbutusline/arbutusline/internal/content"
)

// Info is the response body of GET /v1/info: the state of an engine.
type Info struct {
	Incarnation         uint64   `json:"incarnation"`
	Model               string   `json:"model"`
	WeightsVersion      string   `json:"weights_version"`
	Adapters            []string `json:"adapters"`
	Role                string   `json:"role"`
	BlockTokens         int      `json:"block_tokens"`
	CacheBlocks         int      `json:"cache_blocks"`
	FencingHonoured     bool     `json:"fencing"`
	MaxRunning          int      `json:"max_running"`
	HighestFencingToken uint64   `json:"highest_fencing"`
	LoadingWeights      bool     `json:"loading"`
}

// LoadReport is the response body of GET /v1/load. It describes an earlier time,
// AtUnixMS.
type LoadReport struct {
	Running      int   `json:"running"`
	Waiting      int   `json:"waiting"`
	QueuedTokens int   `json:"queued_tokens"`
	FreeBlocks   int   `json:"free_blocks"`
	AtUnixMS     int64 `json:"at_ms"`
}

// CacheEvent is a change of the engine's cache.
type CacheEvent struct {
	Seq uint64 `json:"seq"`
	// Op is "stored", "removed" or "cleared".
	Op     string   `json:"op"`
	Blocks []uint64 `json:"blocks"`
}

// CacheEventBatch is the response body of GET /v1/cache/events.
type CacheEventBatch struct {
	Incarnation uint64 `json:"incarnation"`
	// LastSeq is the sequence number of the last event that the batch covers.
	LastSeq uint64       `json:"next"`
	Events  []CacheEvent `json:"events"`
}

type cacheSnapshot struct {
	Incarnation uint64   `json:"incarnation"`
	LastSeq     uint64   `json:"next"`
	Blocks      []uint64 `json:"blocks"`
}

const (
	// maxPollBytes bounds a response that is read while the engine is polled: a snapshot of
	// 400,000 cached blocks.
	maxPollBytes = 8 << 20
	// polledExpansion is how many times its length a decoded response needs.
	polledExpansion = 1
)

// failedPollsUntilDown is the number of consecutive failed polls after which the engine
// counts as down.
const failedPollsUntilDown = 3

// Start starts polling the engine.
func (e *Engine) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel, e.pollLoopDone = cancel, make(chan struct{})
	go e.pollLoop(ctx)
	return nil
}

// Stop stops polling and waits for its goroutine.
func (e *Engine) Stop(context.Context) error {
	if e.cancel != nil {
		e.cancel()
		<-e.pollLoopDone
	}
	return nil
}

// Info returns the last known state of the engine, or nil while it is down.
func (e *Engine) Info() *Info { return e.info.Load() }

func (e *Engine) pollLoop(ctx context.Context) {
	defer close(e.pollLoopDone)
	if e.PlainService {
		e.reportServiceUp(ctx)
		return
	}
	p := &poller{engine: e}
	ticker := time.NewTicker(e.PollInterval.AsDuration())
	defer ticker.Stop()
	for {
		p.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.probeRequests:
			p.answerProbe(ctx)
		}
	}
}

// answerProbe reports to the observer whether the engine is alive. An engine that does
// not respond counts as down immediately, because one of its connections has just broken.
func (p *poller) answerProbe(ctx context.Context) {
	var info Info
	old := p.engine.info.Load()
	err := p.engine.getJSON(ctx, "/v1/info", &info, infoFields...)
	if err != nil {
		p.failedPolls = failedPollsUntilDown
		p.reportDown(err)
		return
	}
	if old != nil && old.Incarnation == info.Incarnation {
		p.engine.observer.EngineAlive()
		return
	}
	p.handleInfo(ctx, info)
}

// reportServiceUp reports a plain service as up immediately and waits until ctx ends. A
// plain service cannot be polled, and a call that cannot connect to it is known not to
// have run.
func (e *Engine) reportServiceUp(ctx context.Context) {
	info := &Info{Incarnation: uint64(time.Now().UnixNano())}
	e.info.Store(info)
	e.observer.EngineUp(*info)
	<-ctx.Done()
}

// Probe requests an immediate check, whose result the observer gets as EngineAlive,
// EngineUp or EngineDown.
func (e *Engine) Probe() {
	select {
	case e.probeRequests <- struct{}{}:
	default:
	}
}

// poller reads the state of an engine in one goroutine.
type poller struct {
	engine      *Engine
	failedPolls int
	// lastSeq is the sequence number of the last cache event that was read.
	lastSeq uint64
}

func (p *poller) poll(ctx context.Context) {
	var info Info
	if err := p.engine.getJSON(ctx, "/v1/info", &info, infoFields...); err != nil {
		p.recordFailedPoll(ctx, err)
		return
	}
	p.failedPolls = 0
	p.handleInfo(ctx, info)
	var load LoadReport
	if err := p.engine.getJSON(ctx, "/v1/load", &load, loadFields...); err == nil {
		p.engine.observer.EngineLoad(load)
	}
	p.readCacheEvents(ctx)
}

func (p *poller) recordFailedPoll(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	p.failedPolls++
	if p.failedPolls == failedPollsUntilDown {
		p.reportDown(err)
	}
}

func (p *poller) reportDown(err error) {
	if p.engine.info.Swap(nil) == nil {
		return
	}
	p.engine.log.WithError(err).Warn("engine is down")
	p.engine.observer.EngineDown()
}

func (p *poller) handleInfo(ctx context.Context, info Info) {
	old := p.engine.info.Load()
	if old != nil && old.Incarnation == info.Incarnation && old.WeightsVersion == info.WeightsVersion {
		return
	}
	if old != nil && old.Incarnation != info.Incarnation {
		p.engine.observer.EngineDown()
	}
	p.engine.info.Store(&info)
	p.engine.log.WithField("incarnation", info.Incarnation).WithField("weights_version", info.WeightsVersion).Info("engine is up")
	p.engine.observer.EngineUp(info)
	p.readCacheSnapshot(ctx)
}

func (p *poller) readCacheSnapshot(ctx context.Context) {
	var blocks cacheSnapshot
	if err := p.engine.getJSON(ctx, "/v1/cache/blocks", &blocks, cacheSnapshotFields...); err != nil {
		p.engine.log.WithError(err).Warn("failed to read cache snapshot from engine")
		return
	}
	p.lastSeq = blocks.LastSeq
	p.engine.observer.EngineCacheSnapshot(blocks.Incarnation, blocks.LastSeq, blocks.Blocks)
}

func (p *poller) readCacheEvents(ctx context.Context) {
	var batch CacheEventBatch
	err := p.engine.getJSON(ctx, fmt.Sprintf("/v1/cache/events?since=%d&timeout_ms=0", p.lastSeq), &batch, cacheEventFields...)
	if err != nil {
		return
	}
	if batch.Incarnation != p.engine.info.Load().Incarnation {
		return
	}
	if hasGap(p.lastSeq, batch) {
		p.readCacheSnapshot(ctx)
		return
	}
	p.lastSeq = batch.LastSeq
	p.engine.observer.EngineCacheEvents(batch)
}

// hasGap reports whether events after lastSeq are missing from the batch.
func hasGap(lastSeq uint64, batch CacheEventBatch) bool {
	for _, event := range batch.Events {
		if event.Seq != lastSeq+1 {
			return true
		}
		lastSeq++
	}
	return batch.LastSeq != lastSeq
}

// Fields of the response to each poll that the others lack. The polls share connections, on which a
// late copy of the response to another one may come.
var (
	infoFields          = []string{"incarnation", "weights_version"}
	loadFields          = []string{"at_ms", "free_blocks"}
	cacheEventFields    = []string{"next", "events"}
	cacheSnapshotFields = []string{"next", "blocks"}
)

// getJSON reads the response to a poll, which must have the fields.
func (e *Engine) getJSON(ctx context.Context, path string, dst any, fields ...string) error {
	ctx, cancel := context.WithTimeout(ctx, controlCallTimeout)
	defer cancel()
	resp, err := e.send(ctx, e.client, http.MethodGet, e.URL+path, nil, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("GET %s returned status %d", path, resp.StatusCode)
	}
	body, err := content.Read(resp.Body, resp.ContentLength, e.memory.NewLease(cancel), maxPollBytes)
	if err != nil {
		return err
	}
	defer body.Release()
	return body.Decode(polledExpansion, func(text []byte) error {
		for i, value := range gjson.GetManyBytes(text, fields...) {
			if !value.Exists() {
				return errors.Newf("GET %s returned a response without %q", path, fields[i])
			}
		}
		return json.Unmarshal(text, dst)
	})
}

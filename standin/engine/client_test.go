package engine

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/modules/admin"
	client "github.com/arbutusline/arbutusline/modules/engine"
	"github.com/arbutusline/arbutusline/modules/memory"
	"github.com/arbutusline/arbutusline/settings"
	"github.com/arbutusline/arbutusline/workload/answer"
)

// observer forwards what the agent's client reads to channels.
type observer struct {
	up     chan client.Info
	blocks chan []uint64
	events chan client.CacheEventBatch
}

func (o observer) EngineUp(i client.Info)                           { o.up <- i }
func (o observer) EngineAlive()                                     {}
func (o observer) EngineDown()                                      {}
func (o observer) EngineLoad(client.LoadReport)                     {}
func (o observer) EngineCacheEvents(b client.CacheEventBatch)       { o.events <- b }
func (o observer) EngineCacheSnapshot(_, _ uint64, blocks []uint64) { o.blocks <- blocks }

// Guards against differences between the stand-in and the agent's client in the
// engine protocol: field types, the numbering of cache events and the end of a
// stream. Field types have differed twice without a failing test.
func TestAgentClientUnderstandsStandin(t *testing.T) {
	s := startEngine(t, nil)
	log := logrus.New()
	log.SetOutput(io.Discard)
	file, err := settings.Parse([]byte(`{"admin": {"listen": "127.0.0.1:0"}}`))
	assert.NilError(t, err)
	kernel := arbutusline.New(file, logrus.NewEntry(log))
	assert.NilError(t, kernel.Load(admin.Name, memory.Name))
	agentClient := &client.Engine{URL: s.URL(), PollInterval: settings.Duration(time.Millisecond), MaxRunning: 1}
	assert.NilError(t, agentClient.Provision(kernel))
	o := observer{make(chan client.Info, 9), make(chan []uint64, 9), make(chan client.CacheEventBatch, 9999)}
	agentClient.Observe(o)
	assert.NilError(t, agentClient.Start(context.Background()))
	defer func() { _ = agentClient.Stop(context.Background()) }()
	info := <-o.up
	assert.Equal(t, info.Model, "ledger-llm")
	assert.Assert(t, info.FencingHonoured)
	assert.Equal(t, len(<-o.blocks), 0)

	prompt := strings.Repeat("guidance ", 100)
	req := newRequest("r/1", prompt, 4)
	var text strings.Builder
	result, err := agentClient.Complete(context.Background(), client.CompletionRequest{
		RequestID: req.RequestID, Model: req.Model, Prompt: prompt, MaxTokens: 4, BlockHashes: req.BlockHashes,
	}, func(_ int, token string) error {
		text.WriteString(token)
		return nil
	})
	assert.NilError(t, err)
	assert.Equal(t, text.String(), answer.OutputFor(prompt).Text(0, 4))
	assert.Equal(t, result.Usage.CompletionTokens, 4)

	var batch client.CacheEventBatch
	for len(batch.Events) == 0 {
		batch = <-o.events
	}
	assert.Equal(t, batch.Incarnation, info.Incarnation)
	assert.DeepEqual(t, batch.Events[0], client.CacheEvent{Seq: 1, Op: OpStored, Blocks: req.BlockHashes})
	// A gap in the sequence numbers makes the client read a snapshot.
	s.mu.Lock()
	s.events.DropNext = 1
	s.mu.Unlock()
	for _, id := range []string{"x", "y"} {
		postJSON(t, s.URL()+"/v1/completions", newRequest(id, strings.Repeat(id, 256), 1))
	}
	assert.Equal(t, len(<-o.blocks), len(req.BlockHashes)+2)
}

package service

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/workload/answer"
	"github.com/arbutusline/arbutusline/workload/audit"
)

// Guards against calls that are executed without an audit record, also when the response
// is lost.
func TestCallsAreRecorded(t *testing.T) {
	cfg := Defaults()
	cfg.Name, cfg.Address, cfg.Latency = "rec-01", "127.0.0.1:0", 0
	s := New(cfg)
	assert.NilError(t, s.Start())
	defer s.Stop()
	post := func(path, key, body string) (*http.Response, error) {
		r, err := http.NewRequest("POST", s.URL()+path, strings.NewReader(body))
		assert.NilError(t, err)
		r.Header.Set("Idempotency-Key", key)
		// Without GetBody the transport does not retry a request with an
		// Idempotency-Key on its own.
		r.GetBody = nil
		return http.DefaultClient.Do(r)
	}
	resp, err := post("/recovery", "k1", "entry")
	assert.NilError(t, err)
	var got Response
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&got))
	_ = resp.Body.Close()
	assert.Equal(t, got, Response{"rec-01", "POST", "/recovery", answer.ContentHash("entry"), 1})

	_, err = post("/admin/faults", "", `{"lose_answers":1}`)
	assert.NilError(t, err)
	_, err = post("/recovery", "k2", "entry 2")
	assert.Assert(t, err != nil)
	runs := s.AuditLog.Snapshot().Runs
	assert.Equal(t, len(runs), 2)
	assert.Equal(t, runs[0].Outcome, audit.Completed)
	assert.Equal(t, runs[1].IdempotencyKey, "k2")
	assert.Equal(t, runs[1].Outcome, audit.Aborted)
}

package fleet

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/settings"
	"github.com/arbutusline/arbutusline/workload/audit"
)

const example = `{
	// A store, two engines and a service.
	"store": {"address": "127.0.0.1:0"},
	"weights": {"address": "127.0.0.1:0", "limit": 2},
	"kvstore": {"name": "prompt-vault", "address": "127.0.0.1:0"},
	"engine_defaults": {"model": "ledger-llm", "address": "127.0.0.1:0", "cache_blocks": 100},
	"engines": [{"name": "llm-01"}, {"name": "llm-02", "cache_blocks": 50}],
	"services": [{"name": "rec-01", "address": "127.0.0.1:0"}],
	"admin": "127.0.0.1:0",
}`

// Guards against entries that ignore the defaults section, and against misspelled
// settings being accepted.
func TestDecode(t *testing.T) {
	f, err := settings.Parse([]byte(example))
	assert.NilError(t, err)
	c, err := Decode(f)
	assert.NilError(t, err)
	assert.Equal(t, c.Engines[0].CacheBlocks, 100)
	assert.Equal(t, c.Engines[1].CacheBlocks, 50)
	assert.Equal(t, c.Engines[1].Model, "ledger-llm")
	assert.Equal(t, c.Store.ReadsPerSecond, 2000.0)

	f, err = settings.Parse([]byte(strings.Replace(example, "cache_blocks\": 50", "cache_block\": 50", 1)))
	assert.NilError(t, err)
	_, err = Decode(f)
	assert.ErrorContains(t, err, `unknown field "cache_block"`)
}

// Guards against stand-ins that cannot be reached, and against audit logs that are
// unavailable while a stand-in is crashed.
func TestFleetServes(t *testing.T) {
	f, err := settings.Parse([]byte(example))
	assert.NilError(t, err)
	c, err := Decode(f)
	assert.NilError(t, err)
	fleet, err := New(c)
	assert.NilError(t, err)
	assert.NilError(t, fleet.Start())
	defer fleet.Stop()
	resp, err := http.Post("http://"+fleet.Addresses()["rec-01"]+"/entries", "", strings.NewReader("x"))
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	_ = resp.Body.Close()
	resp, err = http.Post(fleet.AdminURL()+"/rec-01/admin/crash", "", nil)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	resp, err = http.Get(fleet.AdminURL() + "/admin/runs")
	assert.NilError(t, err)
	var page audit.Snapshot
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&page))
	_ = resp.Body.Close()
	assert.Equal(t, len(page.Runs), 1)
	assert.Equal(t, page.Runs[0].Path, "/entries")
}

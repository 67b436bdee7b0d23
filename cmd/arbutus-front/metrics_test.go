package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/modules/admin"
	"github.com/arbutusline/arbutusline/standin/platform"
)

// Guards against metrics that break the naming conventions of Prometheus, and against
// refusals and denied retries that are not counted: alerts depend on both.
func TestMetricsFollowTheConventions(t *testing.T) {
	c := newCluster(t)
	a1 := c.startEndpoint(appEndpoint("a1"))
	c.startEndpoint(engineEndpoint("e1"))
	router := c.startRouter()
	router.send("r1", http.MethodGet, "/look/x", "", "Authorization", "Token nobody")
	router.send("r2", http.MethodGet, "/look/x", "")
	router.sendPrompt("r3", "/ask/x")
	a1.InjectFault(1, platform.FaultNoResponse)
	router.send("r4", http.MethodPost, "/post/x", "entry")
	a, err := arbutusline.Lookup[*admin.Admin](router.kernel, admin.Name)
	assert.NilError(t, err)
	problems, err := testutil.GatherAndLint(a.Registry())
	assert.NilError(t, err)
	for _, p := range problems {
		t.Errorf("%s: %s", p.Metric, p.Text)
	}
	text := getBody(router.adminURL + "/metrics")
	for _, want := range []string{
		`arbutus_ingress_refusals_total{reason="unknown_key"} 1`,
		`arbutus_retries_denied_total{reason="may_have_run"} 1`,
		`arbutus_requests_total{kind="stream",outcome="served"} 1`,
		`arbutus_first_answer_seconds_count{kind="idempotent"} 1`,
	} {
		assert.Check(t, strings.Contains(text, want), fmt.Sprintf("%s is not among the metrics", want))
	}
}

package scheduling

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/settings"
)

// Guards against a shortage of processor time that the log does not tell, or tells with
// each late timer.
func TestShortageOfProcessorTimeIsLoggedOnce(t *testing.T) {
	logger, hook := test.NewNullLogger()
	s := &Scheduling{
		DelayLimit: settings.Duration(200 * time.Millisecond), log: logrus.NewEntry(logger),
		delays: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "delays"}),
	}
	now := time.Unix(0, 0)
	probe := func(delay time.Duration, times int) {
		for range times {
			now = now.Add(probeInterval + delay)
			s.observe(now, delay)
		}
	}
	probe(time.Millisecond, 20)
	assert.Equal(t, len(hook.AllEntries()), 0)
	probe(300*time.Millisecond, 3)
	probe(time.Millisecond, quietProbes-1)
	probe(600*time.Millisecond, 1)
	assert.Equal(t, len(hook.AllEntries()), 1)
	assert.Equal(t, hook.LastEntry().Message, "process short of processor time")
	probe(time.Millisecond, 2*quietProbes)
	assert.Equal(t, len(hook.AllEntries()), 2)
	assert.Equal(t, hook.LastEntry().Message, "process has enough processor time again")
	assert.Equal(t, hook.LastEntry().Data["max_delay_ms"], int64(600))
}

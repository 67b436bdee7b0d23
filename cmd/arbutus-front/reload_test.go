package main

import (
	"slices"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/settings"
)

// reloadBaseSettings holds the settings that every reload test needs.
const reloadBaseSettings = `"node": {"id": "n", "role": "router", "zone": "a"}, "grpc": {"listen": "127.0.0.1:0"},
	"directory": {"store": "127.0.0.1:1", "advertise": "127.0.0.1:2"}`

// newReloadKernel returns a kernel with the modules of the program loaded.
func newReloadKernel(t *testing.T) *arbutusline.Kernel {
	k := arbutusline.New(parseReloadSettings(t, `"ingress": {"listen": "127.0.0.1:0"}, "upgrade": {"holder": "h"}`), logrus.NewEntry(logrus.New()))
	assert.NilError(t, k.Load(modules...))
	return k
}

// parseReloadSettings parses the base settings and more.
func parseReloadSettings(t *testing.T, more string) settings.File {
	f, err := settings.Parse([]byte("{" + reloadBaseSettings + ",\n" + more + "}"))
	assert.NilError(t, err)
	return f
}

// Guards against a reload that does not report the settings that need a restart, which
// operators would take to be in force.
func TestReloadReportsSettingsThatNeedRestart(t *testing.T) {
	k := newReloadKernel(t)
	r, err := k.Reload(parseReloadSettings(t, `"ingress": {"listen": "127.0.0.1:7", "linger": "1s"}, "upgrade": {"holder": "h", "turn_pause": "4s"},
		"relay": {"retry_ratio": 0.1, "retry_slack": 3, "old_weights_limit": "4s"}, "exchange": {"seeds": ["127.0.0.1:9"]}, "log": {"level": "debug"}`))
	assert.NilError(t, err)
	slices.Sort(r.Applied)
	assert.DeepEqual(t, r.Applied, []string{"exchange", "ingress", "log", "relay", "upgrade"})
	assert.DeepEqual(t, r.PendingRestart, []string{"ingress"})
	assert.Equal(t, k.Log.Logger.GetLevel(), logrus.DebugLevel)

	r, err = k.Reload(parseReloadSettings(t, `"ingress": {"listen": "127.0.0.1:0", "linger": "1s"}, "upgrade": {"holder": "h", "turn_pause": "4s"},
		"relay": {"retry_ratio": 0.1, "retry_slack": 3, "old_weights_limit": "4s"}, "exchange": {"seeds": ["127.0.0.1:9"]}, "log": {"level": "debug"}`))
	assert.NilError(t, err)
	assert.Equal(t, len(r.Applied)+len(r.PendingRestart), 0, "%v", r)
}

// Guards against applying a part of a settings file that has an invalid value.
func TestReloadOfInvalidSettingsChangesNothing(t *testing.T) {
	k := newReloadKernel(t)
	before, err := k.EffectiveSettings()
	assert.NilError(t, err)
	for _, more := range []string{
		`"log": {"level": "debug"}, "relay": {"retry_ratio": -1}, "ingress": {"listen": "x"}, "upgrade": {"holder": "h"}`,
		`"log": {"level": "debug"}, "relay": {"retry_rate": 1}, "ingress": {"listen": "x"}, "upgrade": {"holder": "h"}`,
		`"log": {"level": "debug"}, "other": {}, "ingress": {"listen": "x"}, "upgrade": {"holder": "h"}`,
	} {
		_, err := k.Reload(parseReloadSettings(t, more))
		assert.ErrorContains(t, err, "line 3")
		after, err := k.EffectiveSettings()
		assert.NilError(t, err)
		assert.Equal(t, string(after), string(before))
	}
}

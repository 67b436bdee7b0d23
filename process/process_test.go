package process

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline"
	_ "github.com/arbutusline/arbutusline/modules/logging"
	"github.com/arbutusline/arbutusline/settings"
)

// Guards against a reload without a log line, and against a process that drops its
// settings when the new file is invalid.
func TestReloadLogsItsResult(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.json")
	write := func(text string) { assert.NilError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write(`{"log": {"level": "info"}}`)
	file, err := settings.Read(path)
	assert.NilError(t, err)
	log, lines := test.NewNullLogger()
	k := arbutusline.New(file, logrus.NewEntry(log))
	assert.NilError(t, k.Load("log"))

	write(`{"log": {"level": "debug"}}`)
	reloadSettings(k, flags{Settings: path})
	assert.Equal(t, lines.LastEntry().Message, "settings reloaded")
	assert.DeepEqual(t, lines.LastEntry().Data["applied"], []string{"log"})
	assert.Equal(t, log.GetLevel(), logrus.DebugLevel)

	write("{\"log\": {\n\"level\": \"loud\"}}")
	reloadSettings(k, flags{Settings: path})
	assert.Equal(t, lines.LastEntry().Level, logrus.ErrorLevel)
	assert.ErrorContains(t, lines.LastEntry().Data["error"].(error), "line 1: settings of log: level")
	assert.Equal(t, log.GetLevel(), logrus.DebugLevel)
}

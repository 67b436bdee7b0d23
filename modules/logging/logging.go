// Package logging is the module "log": the level and format of the process log.
package logging

import (
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline"
)

// Name is the name of the module.
const Name = "log"

func init() {
	arbutusline.Register(func() arbutusline.Module { return &Logging{Level: "info", Format: "json"} })
}

// Logging configures the logger of the kernel.
type Logging struct {
	// Level is a logrus level. Default "info".
	Level string `json:"level"`
	// Format is "json" or "text". Default "json".
	Format string `json:"format"`

	logger *logrus.Logger
}

// formatters maps the values of the setting "format" to logrus formatters.
var formatters = map[string]logrus.Formatter{
	"json": &logrus.JSONFormatter{},
	"text": &logrus.TextFormatter{FullTimestamp: true},
}

// ModuleName returns "log".
func (l *Logging) ModuleName() string { return Name }

// Provision applies the settings to the kernel's logger, so that modules provisioned
// later log with them.
func (l *Logging) Provision(k *arbutusline.Kernel) error {
	l.logger = k.Log.Logger
	if err := l.Validate(); err != nil {
		return err
	}
	l.apply()
	return nil
}

// Validate checks level and format.
func (l *Logging) Validate() error {
	if _, err := logrus.ParseLevel(l.Level); err != nil {
		return errors.Wrap(err, "level")
	}
	if formatters[l.Format] == nil {
		return errors.Newf("format %q is neither \"json\" nor \"text\"", l.Format)
	}
	return nil
}

// Reload applies the new level and format.
func (l *Logging) Reload(next arbutusline.Module) {
	n := next.(*Logging)
	l.Level, l.Format = n.Level, n.Format
	l.apply()
}

// apply sets the level and format of the logger. They must be valid.
func (l *Logging) apply() {
	if level, err := logrus.ParseLevel(l.Level); err == nil {
		l.logger.SetLevel(level)
	}
	l.logger.SetFormatter(formatters[l.Format])
}

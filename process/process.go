// Package process is the common main function of the long-running programs:
// flags, settings, signals and graceful shutdown.
package process

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/process/asynclog"
	"github.com/arbutusline/arbutusline/settings"
)

// Exit codes of the programs.
const (
	ExitOK              = 0
	ExitFailure         = 1
	ExitInvalidSettings = 2
)

type flags struct {
	Settings      string        `help:"Settings file, JSON with comments." type:"path"`
	PrintSettings bool          `help:"Print the effective settings and exit."`
	Check         bool          `help:"Check the settings and exit."`
	StopTimeout   time.Duration `help:"Longest time that a graceful shutdown may take." default:"10m"`
}

// Main runs the named modules until SIGTERM or SIGINT and returns the exit
// code. A second signal ends the process at once. SIGHUP reads the settings again.
func Main(program, description string, modules ...string) int {
	// Signals that come during the start must not end the process at once.
	s := subscribeSignals()
	var f flags
	kong.Parse(&f, kong.Name(program), kong.Description(description))
	log := logrus.New()
	out := asynclog.New(os.Stdout)
	defer out.Close()
	log.SetOutput(out)
	entry := log.WithField("program", program)

	kernel, err := loadKernel(f, entry, out, modules)
	if f.PrintSettings && kernel != nil {
		printSettings(kernel)
	}
	if err != nil {
		entry.WithError(err).Error("settings are not usable")
		return ExitInvalidSettings
	}
	if f.PrintSettings {
		return ExitOK
	}
	if f.Check {
		return ExitOK
	}
	if err := runKernel(kernel, f.Settings, s, f.StopTimeout); err != nil {
		entry.WithError(err).Error("ended with an error")
		return ExitFailure
	}
	return ExitOK
}

func loadKernel(f flags, log *logrus.Entry, out *asynclog.Writer, modules []string) (*arbutusline.Kernel, error) {
	file, err := settings.Read(f.Settings)
	if err != nil {
		return nil, err
	}
	kernel := arbutusline.New(file, log)
	kernel.DroppedLogLines = out.DroppedLines
	return kernel, kernel.Load(modules...)
}

// printSettings prints the settings of all modules that were provisioned, also
// when some are not valid, so that an operator sees what is missing.
func printSettings(kernel *arbutusline.Kernel) {
	text, err := kernel.EffectiveSettings()
	if err != nil {
		kernel.Log.WithError(err).Error("print settings")
		return
	}
	fmt.Println(string(text))
}

func runKernel(kernel *arbutusline.Kernel, path string, s signals, stopTimeout time.Duration) error {
	if err := kernel.Start(context.Background()); err != nil {
		return err
	}
	kernel.Log.Info("started")
	stop := reloadUntilTerminated(s, kernel, path)
	kernel.Log.WithField("signal", stop.String()).Info("stopping")

	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	go func() {
		<-s.terminate
		cancel()
	}()
	err := kernel.Stop(ctx)
	kernel.Log.Info("stopped")
	return errors.Wrap(err, "graceful shutdown")
}

// signals are the signals that the process takes.
type signals struct {
	// terminate holds the two that may ask for its end, reload one of SIGHUP.
	terminate, reload chan os.Signal
}

func subscribeSignals() signals {
	s := signals{terminate: make(chan os.Signal, 2), reload: make(chan os.Signal, 1)}
	signal.Notify(s.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// reloadUntilTerminated reads the settings again at each hangup, until a signal asks for the
// end of the process.
func reloadUntilTerminated(s signals, kernel *arbutusline.Kernel, path string) os.Signal {
	for {
		select {
		case end := <-s.terminate:
			return end
		case <-s.reload:
			reloadSettings(kernel, path)
		}
	}
}

// reloadSettings takes the settings at path, or logs why they are not usable and keeps those
// in force.
func reloadSettings(kernel *arbutusline.Kernel, path string) {
	var r arbutusline.ReloadResult
	file, err := settings.Read(path)
	if err == nil {
		r, err = kernel.Reload(file)
	}
	log := kernel.Log.WithFields(logrus.Fields{"file": path, "applied": r.Applied, "next_start": r.PendingRestart})
	if err != nil {
		log.WithError(err).Error("settings not reloaded; the former ones stay in force")
		return
	}
	log.Info("settings reloaded")
}

// Package process provides the main function shared by the long-running programs: it
// handles flags, settings, signals and graceful shutdown.
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
	Set           []string      `help:"Setting that replaces that of the file, MODULE.FIELD=VALUE." placeholder:"SETTING" sep:"none"`
	PrintSettings bool          `help:"Print the effective settings and exit."`
	Check         bool          `help:"Check the settings and exit."`
	StopTimeout   time.Duration `help:"Maximum duration of a graceful shutdown." default:"10m"`
}

// Main runs the named modules until SIGTERM or SIGINT and returns the exit code. A
// second such signal ends the graceful shutdown early. SIGHUP reloads the settings.
func Main(program, description string, modules ...string) int {
	// Signals received during startup must not kill the process.
	sigs := subscribeSignals()
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
		entry.WithError(err).Error("failed to load modules or their settings")
		return ExitInvalidSettings
	}
	if f.PrintSettings {
		return ExitOK
	}
	if f.Check {
		return ExitOK
	}
	if err := runKernel(kernel, f, sigs); err != nil {
		entry.WithError(err).Error("process failed")
		return ExitFailure
	}
	return ExitOK
}

func loadKernel(f flags, log *logrus.Entry, out *asynclog.Writer, modules []string) (*arbutusline.Kernel, error) {
	file, err := readSettings(f)
	if err != nil {
		return nil, err
	}
	kernel := arbutusline.New(file, log)
	kernel.DroppedLogLines = out.DroppedLines
	return kernel, kernel.Load(modules...)
}

func readSettings(f flags) (settings.File, error) {
	file, err := settings.Read(f.Settings)
	if err != nil {
		return settings.File{}, err
	}
	return file.WithOverrides(f.Set)
}

// printSettings prints the settings of all provisioned modules, including invalid
// ones, so that an operator sees what is missing.
func printSettings(kernel *arbutusline.Kernel) {
	text, err := kernel.EffectiveSettings()
	if err != nil {
		kernel.Log.WithError(err).Error("failed to print settings")
		return
	}
	fmt.Println(string(text))
}

func runKernel(kernel *arbutusline.Kernel, f flags, sigs signals) error {
	if err := kernel.Start(context.Background()); err != nil {
		return err
	}
	kernel.Log.Info("started")
	sig := reloadUntilTerminated(sigs, kernel, f)
	kernel.Log.WithField("signal", sig.String()).Info("stopping")

	ctx, cancel := context.WithTimeout(context.Background(), f.StopTimeout)
	defer cancel()
	go func() {
		<-sigs.terminate
		cancel()
	}()
	err := kernel.Stop(ctx)
	kernel.Log.Info("stopped")
	return errors.Wrap(err, "graceful shutdown")
}

// signals holds the channels of the handled signals.
type signals struct {
	// terminate receives SIGTERM and SIGINT. It buffers two signals: the first starts
	// the graceful shutdown, the second ends the shutdown early. reload receives SIGHUP.
	terminate, reload chan os.Signal
}

func subscribeSignals() signals {
	sigs := signals{terminate: make(chan os.Signal, 2), reload: make(chan os.Signal, 1)}
	signal.Notify(sigs.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(sigs.reload, syscall.SIGHUP)
	return sigs
}

// reloadUntilTerminated reloads the settings on each SIGHUP. It returns the first
// SIGTERM or SIGINT.
func reloadUntilTerminated(sigs signals, kernel *arbutusline.Kernel, f flags) os.Signal {
	for {
		select {
		case sig := <-sigs.terminate:
			return sig
		case <-sigs.reload:
			reloadSettings(kernel, f)
		}
	}
}

// reloadSettings reads and applies the settings. When they cannot be read or are invalid, it
// logs the error and the process keeps its settings.
func reloadSettings(kernel *arbutusline.Kernel, f flags) {
	var r arbutusline.ReloadResult
	file, err := readSettings(f)
	if err == nil {
		r, err = kernel.Reload(file)
	}
	log := kernel.Log.WithFields(logrus.Fields{"file": f.Settings, "applied": r.Applied, "next_start": r.PendingRestart})
	if err != nil {
		log.WithError(err).Error("settings reload failed; keeping the current settings")
		return
	}
	log.Info("settings reloaded")
}

// Command arbutus-standin serves stand-ins for the object API, engines and
// plain services on the addresses of one settings file.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline/settings"
	"github.com/arbutusline/arbutusline/standin/fleet"
)

type cli struct {
	SettingsFile  string `name:"settings" required:"" type:"existingfile" help:"Settings file, JSON with comments."`
	PrintSettings bool   `help:"Print the settings with their defaults and exit."`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Description("Serves stand-ins for the systems that arbutusline depends on."))
	k.FatalIfErrorf(run(c))
}

func run(c cli) error {
	file, err := settings.Read(c.SettingsFile)
	if err != nil {
		return err
	}
	cfg, err := fleet.Decode(file)
	if err != nil {
		return err
	}
	if c.PrintSettings {
		text, err := json.MarshalIndent(cfg, "", "  ")
		fmt.Println(string(text))
		return errors.Wrap(err, "print settings")
	}
	f, err := fleet.New(cfg)
	if err != nil {
		return err
	}
	if err := f.Start(); err != nil {
		return err
	}
	logrus.WithField("stand-ins", len(f.Addresses())).Info("serving stand-ins")
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
	f.Stop()
	return nil
}

package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/objectstore"
	"github.com/arbutusline/arbutusline/ruleadmin"
	"github.com/arbutusline/arbutusline/rules"
	"github.com/arbutusline/arbutusline/settings"
)

// Exit codes. docs/arbutusctl.md documents them.
const (
	exitOK          = 0
	exitFailure     = 1 // usage, settings or internal error
	exitInvalid     = 2 // the rules have faults
	exitConflict    = 3 // other edits forbid the change
	exitUnavailable = 4 // store, router or agent cannot be reached; no effect
	exitUnknown     = 5 // the change may or may not be in force
	exitNotFound    = 6 // version, endpoint or request does not exist
	exitBehind      = 7 // status --strict: a process is behind or gone
)

// settingsName is the name of the object in the settings file.
const settingsName = "arbutusctl"

// Errors of this program.
var (
	errUsage       = errors.New("wrong usage")
	errNotFound    = errors.New("not found")
	errUnreachable = errors.New("no process answered")
	errBehind      = errors.New("not all processes are up to date")
)

// failf returns an error of a class whose message is only the given one.
func failf(class error, format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), class)
}

// environment is what the program takes from its surroundings.
type environment struct {
	stdin          io.Reader
	stdout, stderr io.Writer
	exit           func(int)
	openStore      func(addresses []string) (objectstore.Store, error)
	adminOptions   ruleadmin.Options
}

// cli holds the flags and commands.
type cli struct {
	Settings string        `help:"Settings file, JSON with comments: {\"arbutusctl\": {\"store\": [], \"routers\": [], \"agents\": []}}." env:"ARBUTUSCTL_SETTINGS" type:"path"`
	Store    []string      `help:"Base URL of the object API; repeat for several." placeholder:"URL"`
	Router   []string      `help:"gRPC address of a router; repeat for several." placeholder:"HOST:PORT"`
	Agent    []string      `help:"gRPC address of an agent; repeat for several." placeholder:"HOST:PORT"`
	Output   string        `help:"Form of the output." enum:"human,json" default:"human"`
	Timeout  time.Duration `help:"Longest time of the whole command." default:"60s"`

	Check   checkCmd   `cmd:"" help:"Check a rules file without any server."`
	Fmt     fmtCmd     `cmd:"" help:"Write a rules file in canonical form."`
	Apply   applyCmd   `cmd:"" help:"Merge a rules file into the rules in force."`
	Diff    diffCmd    `cmd:"" help:"Show what apply would change."`
	History historyCmd `cmd:"" help:"List the latest versions with author and reason."`
	Show    showCmd    `cmd:"" help:"Print the rules in force or an older version."`
	Status  statusCmd  `cmd:"" help:"Show which routers and agents live and which rules they have."`
	Drain   drainCmd   `cmd:"" help:"Stop new work for an endpoint or a host."`
	Undrain undrainCmd `cmd:"" help:"Take an endpoint or a host back into service."`
	Explain explainCmd `cmd:"" help:"Show why a request went where it went."`
}

// addresses are the settings of the program.
type addresses struct {
	// Store holds base URLs of the object API. Default none.
	Store []string `json:"store"`
	// Routers and Agents hold gRPC addresses. Default none.
	Routers []string `json:"routers"`
	Agents  []string `json:"agents"`
}

// session is one run of a command.
type session struct {
	environment
	addresses
	ctx  context.Context
	json bool
}

// run parses args, runs the command and returns the exit code.
func run(args []string, env environment) int {
	var c cli
	parser, err := kong.New(&c, kong.Name("arbutusctl"), kong.Writers(env.stdout, env.stderr), kong.Exit(env.exit),
		kong.Description("Operates arbutusline: rules, drains, status and explanations."))
	if err != nil {
		fmt.Fprintln(env.stderr, "arbutusctl:", err)
		return exitFailure
	}
	command, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(env.stderr, "arbutusctl:", err)
		return exitFailure
	}
	s := &session{environment: env, json: c.Output == "json"}
	var cancel context.CancelFunc
	s.ctx, cancel = context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	if s.addresses, err = c.readAddresses(); err == nil {
		err = command.Run(s)
	}
	return s.finish(err)
}

// readAddresses reads the settings file; flags replace its lists.
func (c *cli) readAddresses() (addresses, error) {
	var a addresses
	file, err := settings.Read(c.Settings)
	if err == nil {
		err = file.RejectUnknownModules([]string{settingsName})
	}
	if err == nil {
		err = file.Decode(settingsName, &a)
	}
	if err != nil {
		return a, errors.Mark(err, errUsage)
	}
	for _, f := range []struct{ flag, list *[]string }{
		{&c.Store, &a.Store}, {&c.Router, &a.Routers}, {&c.Agent, &a.Agents},
	} {
		if len(*f.flag) > 0 {
			*f.list = *f.flag
		}
	}
	return a, nil
}

// admin opens the store.
func (s *session) admin() (*ruleadmin.Admin, error) {
	if len(s.Store) == 0 {
		return nil, failf(errUsage, "no address of the object store: give --store or a settings file")
	}
	store, err := s.openStore(s.Store)
	if err != nil {
		return nil, errors.Mark(err, errUsage)
	}
	return ruleadmin.New(store, s.adminOptions), nil
}

// readFile reads a file, or standard input for "-".
func (s *session) readFile(path string) (string, error) {
	if path == "-" {
		text, err := io.ReadAll(io.LimitReader(s.stdin, rules.MaxTextBytes+1))
		return string(text), err
	}
	text, err := os.ReadFile(path)
	return string(text), err
}

// exitCodes maps errors to exit codes and the names that JSON output uses,
// most specific first.
var exitCodes = []struct {
	err  error
	code int
	name string
}{
	{ruleadmin.ErrOutcomeUnknown, exitUnknown, "outcome_unknown"},
	{ruleadmin.ErrConflict, exitConflict, "conflict"},
	{ruleadmin.ErrBaseTooOld, exitConflict, "base_too_old"},
	{rules.ErrInvalid, exitInvalid, "invalid_rules"},
	{ruleadmin.ErrRulesTooLarge, exitInvalid, "too_large"},
	{ruleadmin.ErrStoreUnavailable, exitUnavailable, "store_unavailable"},
	{errUnreachable, exitUnavailable, "unreachable"},
	{ruleadmin.ErrVersionNotFound, exitNotFound, "not_found"},
	{errNotFound, exitNotFound, "not_found"},
	{errBehind, exitBehind, "behind"},
}

// failure is the JSON output of a command that failed.
type failure struct {
	Error     string                   `json:"error"`
	Code      string                   `json:"code"`
	Exit      int                      `json:"exit"`
	Conflicts []ruleadmin.LineConflict `json:"conflicts,omitempty"`
	Faults    []rules.Problem          `json:"faults,omitempty"`
}

// finish reports an error and returns the exit code.
func (s *session) finish(err error) int {
	if err == nil {
		return exitOK
	}
	f := failure{Error: err.Error(), Code: "failure", Exit: exitFailure}
	for _, c := range exitCodes {
		if errors.Is(err, c.err) {
			f.Code, f.Exit = c.name, c.code
			break
		}
	}
	if !s.json {
		fmt.Fprintln(s.stderr, "arbutusctl: "+strings.ReplaceAll(f.Error, "\n", "\n  "))
		return f.Exit
	}
	if errors.Is(err, errBehind) {
		return f.Exit // the status itself is the output
	}
	var conflict *ruleadmin.ConflictError
	if errors.As(err, &conflict) {
		f.Conflicts = conflict.Conflicts
	}
	var problems *rules.Problems
	if errors.As(err, &problems) {
		f.Faults = problems.List
	}
	s.printJSON(f)
	return f.Exit
}

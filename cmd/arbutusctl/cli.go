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
	exitOK             = 0
	exitFailure        = 1 // wrong usage, invalid settings or internal error
	exitInvalidRules   = 2 // the rules are invalid
	exitConflict       = 3 // the change conflicts with other edits
	exitUnavailable    = 4 // store, router or agent cannot be reached; nothing changed
	exitOutcomeUnknown = 5 // the change may or may not be in force
	exitNotFound       = 6 // version, endpoint or request does not exist
	exitUnhealthy      = 7 // status --strict: a process is behind or unavailable, or has a fault
)

// settingsModule is the module name of this program in the settings file.
const settingsModule = "arbutusctl"

// Classes of errors. errorClasses maps them to exit codes; other errors have the exit
// code exitFailure.
var (
	errUsage       = errors.New("wrong usage")
	errNotFound    = errors.New("not found")
	errUnreachable = errors.New("no process answered")
	errUnhealthy   = errors.New("not all processes are healthy and up to date")
)

// markedErrorf returns an error that errors.Is reports to be mark. Its message does
// not contain the message of mark.
func markedErrorf(mark error, format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), mark)
}

// environment holds the dependencies of the program that tests replace.
type environment struct {
	stdin            io.Reader
	stdout, stderr   io.Writer
	exit             func(int)
	openStore        func(addresses []string) (objectstore.Store, error)
	ruleAdminOptions ruleadmin.Options
}

// cli holds the flags and commands.
type cli struct {
	SettingsFile    string        `name:"settings" help:"Settings file, JSON with comments: {\"arbutusctl\": {\"store\": [], \"routers\": [], \"agents\": []}}." env:"ARBUTUSCTL_SETTINGS" type:"path"`
	StoreURLs       []string      `name:"store" help:"Base URL of the object API; repeat for several." placeholder:"URL"`
	RouterAddresses []string      `name:"router" help:"gRPC address of a router; repeat for several." placeholder:"HOST:PORT"`
	AgentAddresses  []string      `name:"agent" help:"gRPC address of an agent; repeat for several." placeholder:"HOST:PORT"`
	OutputFormat    string        `name:"output" help:"Output format." enum:"human,json" default:"human"`
	Timeout         time.Duration `help:"Time limit of the whole command." default:"60s"`

	Check   checkCmd   `cmd:"" help:"Check a rules file without contacting a server."`
	Fmt     fmtCmd     `cmd:"" help:"Format a rules file."`
	Apply   applyCmd   `cmd:"" help:"Merge a rules file into the rules in force."`
	Diff    diffCmd    `cmd:"" help:"Show what apply would change."`
	History historyCmd `cmd:"" help:"List the latest rules versions with author and reason."`
	Show    showCmd    `cmd:"" help:"Print the rules in force or an older version."`
	Status  statusCmd  `cmd:"" help:"Show the state and the rules version of routers and agents."`
	Drain   drainCmd   `cmd:"" help:"Stop sending new requests to an endpoint or a host."`
	Undrain undrainCmd `cmd:"" help:"Remove the drain of an endpoint or a host."`
	Explain explainCmd `cmd:"" help:"Show how a request was routed and why."`
}

// connectionSettings are the settings of the program: addresses of the store, routers and
// agents.
type connectionSettings struct {
	// StoreURLs holds base URLs of the object API. Default none.
	StoreURLs []string `json:"store"`
	// RouterAddresses and AgentAddresses hold gRPC addresses. Default none.
	RouterAddresses []string `json:"routers"`
	AgentAddresses  []string `json:"agents"`
}

// invocation is one run of a command.
type invocation struct {
	environment
	connectionSettings
	ctx        context.Context
	jsonOutput bool
}

// run parses args, runs the command and returns the exit code.
func run(args []string, env environment) int {
	var c cli
	parser, err := kong.New(&c, kong.Name("arbutusctl"), kong.Writers(env.stdout, env.stderr), kong.Exit(env.exit),
		kong.Description("Manages rules, drains endpoints, shows status and explains how requests were routed."))
	if err != nil {
		fmt.Fprintln(env.stderr, "arbutusctl:", err)
		return exitFailure
	}
	command, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(env.stderr, "arbutusctl:", err)
		return exitFailure
	}
	inv := &invocation{environment: env, jsonOutput: c.OutputFormat == "json"}
	var cancel context.CancelFunc
	inv.ctx, cancel = context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	if inv.connectionSettings, err = c.readSettings(); err == nil {
		err = command.Run(inv)
	}
	return inv.reportError(err)
}

// readSettings reads the settings file. A flag that is given replaces the list of the
// file.
func (c *cli) readSettings() (connectionSettings, error) {
	var connections connectionSettings
	file, err := settings.Read(c.SettingsFile)
	if err == nil {
		err = file.RejectUnknownModules([]string{settingsModule})
	}
	if err == nil {
		err = file.Decode(settingsModule, &connections)
	}
	if err != nil {
		return connections, errors.Mark(err, errUsage)
	}
	for _, override := range []struct{ flag, list *[]string }{
		{&c.StoreURLs, &connections.StoreURLs}, {&c.RouterAddresses, &connections.RouterAddresses}, {&c.AgentAddresses, &connections.AgentAddresses},
	} {
		if len(*override.flag) > 0 {
			*override.list = *override.flag
		}
	}
	return connections, nil
}

// newRuleAdmin opens the object store to read and change its rules.
func (inv *invocation) newRuleAdmin() (*ruleadmin.Admin, error) {
	if len(inv.StoreURLs) == 0 {
		return nil, markedErrorf(errUsage, "no address of the object store: give --store or a settings file")
	}
	store, err := inv.openStore(inv.StoreURLs)
	if err != nil {
		return nil, errors.Mark(err, errUsage)
	}
	return ruleadmin.New(store, inv.ruleAdminOptions), nil
}

// readFileOrStdin reads a file, or standard input if path is "-".
func (inv *invocation) readFileOrStdin(path string) (string, error) {
	if path == "-" {
		text, err := io.ReadAll(io.LimitReader(inv.stdin, rules.MaxTextBytes+1))
		return string(text), err
	}
	text, err := os.ReadFile(path)
	return string(text), err
}

// errorClasses maps errors to exit codes and to the codes in JSON output. The first
// entry that matches applies.
var errorClasses = []struct {
	err      error
	exitCode int
	jsonCode string
}{
	{ruleadmin.ErrOutcomeUnknown, exitOutcomeUnknown, "outcome_unknown"},
	{ruleadmin.ErrConflict, exitConflict, "conflict"},
	{ruleadmin.ErrBaseTooOld, exitConflict, "base_too_old"},
	{rules.ErrInvalid, exitInvalidRules, "invalid_rules"},
	{ruleadmin.ErrRulesTooLarge, exitInvalidRules, "too_large"},
	{ruleadmin.ErrStoreUnavailable, exitUnavailable, "store_unavailable"},
	{errUnreachable, exitUnavailable, "unreachable"},
	{ruleadmin.ErrVersionNotFound, exitNotFound, "not_found"},
	{errNotFound, exitNotFound, "not_found"},
	{errUnhealthy, exitUnhealthy, "behind"},
}

// failureOutput is the JSON output of a command that failed.
type failureOutput struct {
	Message   string                   `json:"error"`
	Code      string                   `json:"code"`
	ExitCode  int                      `json:"exit"`
	Conflicts []ruleadmin.LineConflict `json:"conflicts,omitempty"`
	Problems  []rules.Problem          `json:"faults,omitempty"`
}

// reportError prints an error, if any, and returns the exit code.
func (inv *invocation) reportError(err error) int {
	if err == nil {
		return exitOK
	}
	f := failureOutput{Message: err.Error(), Code: "failure", ExitCode: exitFailure}
	for _, c := range errorClasses {
		if errors.Is(err, c.err) {
			f.Code, f.ExitCode = c.jsonCode, c.exitCode
			break
		}
	}
	if !inv.jsonOutput {
		fmt.Fprintln(inv.stderr, "arbutusctl: "+strings.ReplaceAll(f.Message, "\n", "\n  "))
		return f.ExitCode
	}
	if errors.Is(err, errUnhealthy) {
		return f.ExitCode // the command has already printed the status
	}
	var conflict *ruleadmin.ConflictError
	if errors.As(err, &conflict) {
		f.Conflicts = conflict.Conflicts
	}
	var problems *rules.Problems
	if errors.As(err, &problems) {
		f.Problems = problems.List
	}
	inv.printJSON(f)
	return f.ExitCode
}

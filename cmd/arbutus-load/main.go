// Command arbutus-load replays a seeded workload against routers and reports the
// outcomes that callers observe. It also writes the settings and rules of the demo.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/workload"
	"github.com/arbutusline/arbutusline/workload/demo"
	"github.com/arbutusline/arbutusline/workload/replay"
)

type runCommand struct {
	RouterURLs        []string      `name:"router" required:"" placeholder:"URL" help:"Base URLs of the routers, used in turn."`
	AuditURLs         []string      `name:"audit" placeholder:"URL" help:"Base URLs of stand-ins, or of their admin address. Their audit logs are compared with the responses."`
	Deployment        string        `default:"kaayal" enum:"kaayal,picha" help:"Deployment whose traffic is sent."`
	Seed              uint64        `default:"1" help:"Seed of the workload."`
	RunID             string        `help:"Text that makes idempotency keys and prompts differ from those of other runs. Default: derived from the current time."`
	RequestsPerSecond float64       `name:"rate" default:"20" help:"Mean requests per second before the hot set shifts."`
	MaxRequests       int           `name:"requests" default:"0" help:"Number of requests; 0 means as many as fit the duration."`
	Duration          time.Duration `default:"30s" help:"Length of the workload."`
	HotSetShiftAt     time.Duration `name:"shift-at" help:"Time at which the hot set shifts. Default: half of the duration."`
	MaxInFlight       int           `default:"1000" help:"Maximum number of concurrent requests."`
	RequestTimeout    time.Duration `name:"timeout" default:"1m" help:"Time limit of one request including its retries."`
	MaxAttempts       int           `name:"tries" default:"5" help:"Maximum number of attempts per request."`
	MaxResumes        int           `name:"resumes" default:"5" help:"Maximum number of times that an interrupted stream is resumed."`
	DuplicatePercent  int           `name:"repeat" default:"10" help:"Percentage of the non-idempotent requests that are sent twice at the same time."`
	ChatPercent       int           `name:"chat" default:"0" help:"Percentage of the completions that are sent as chat completions."`
	CrashEvery        int           `default:"0" help:"Make each request whose sequence number is divisible by this number crash the engines that run it; 0 means none."`
	SummaryFile       string        `name:"json" placeholder:"FILE" help:"Write the summary as JSON to this file; \"-\" writes it to stdout and the text report to stderr."`
	ReportFile        string        `name:"save" placeholder:"FILE" help:"Write the report to this file as input for the combine command."`
	FailOnFaults      bool          `name:"check" help:"Exit with an error when a request ran twice, was lost or got a bad response."`
}

type combineCommand struct {
	ReportFiles  []string `arg:"" name:"files" type:"existingfile" help:"Files that run wrote with --save."`
	FailOnFaults bool     `name:"check" help:"Exit with an error when a request ran twice, was lost or got a bad response."`
}

type awaitCommand struct {
	URLs    []string      `arg:"" help:"URLs that must return status 200."`
	Timeout time.Duration `default:"20s" help:"Maximum wait for all URLs."`
}

type demoFilesCommand struct {
	Deployment           string `required:"" enum:"kaayal,picha" help:"Deployment to write files for: kaayal or picha."`
	OutputDir            string `name:"dir" required:"" type:"path" help:"Directory to write to; it is created if needed."`
	BasePort             int    `default:"21000" help:"First of 800 loopback ports."`
	RoutersPerZone       int    `default:"1" help:"Routers in each availability zone."`
	EngineCount          int    `name:"workers" help:"Number of engines. Default: that of the deployment."`
	ServiceInstanceCount int    `name:"service-workers" help:"Number of service instances. Default: that of the deployment."`
}

type cli struct {
	Run       runCommand       `cmd:"" default:"withargs" help:"Replay a workload."`
	Combine   combineCommand   `cmd:"" help:"Combine the reports of several runs; the last line is the summary as JSON."`
	Await     awaitCommand     `cmd:"" help:"Wait until all URLs return status 200."`
	DemoFiles demoFilesCommand `cmd:"" help:"Write the settings and rules of a demo."`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Description("Replays seeded workloads against arbutusline routers."))
	k.FatalIfErrorf(k.Run())
}

// Run replays the workload and writes the reports.
func (c *runCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	d, err := workload.FindDeployment(c.Deployment)
	if err != nil {
		return err
	}
	if c.RunID == "" {
		c.RunID = strconv.FormatInt(time.Now().UnixNano(), 36)
	}
	records := replay.Run(ctx, replay.Config{
		RouterURLs: c.RouterURLs,
		Workload: workload.New(workload.Config{
			Deployment: d, Seed: c.Seed, RunID: c.RunID, RequestsPerSecond: c.RequestsPerSecond,
			MaxRequests: c.MaxRequests, Duration: c.Duration, HotSetShiftAt: c.HotSetShiftAt, CrashEvery: c.CrashEvery,
		}),
		MaxInFlight: c.MaxInFlight, RequestTimeout: c.RequestTimeout, MaxAttempts: c.MaxAttempts, MaxResumes: c.MaxResumes,
		DuplicatePercent: c.DuplicatePercent, ChatPercent: c.ChatPercent,
		ProgressWriter: os.Stderr,
	})
	report, auditErr := c.buildReport(records)
	if err := c.writeReport(report); err != nil {
		return err
	}
	if auditErr != nil {
		return auditErr
	}
	if c.ReportFile != "" {
		if err := report.Save(c.ReportFile); err != nil {
			return err
		}
	}
	return faultError(report, c.FailOnFaults)
}

func faultError(report replay.Report, failOnFaults bool) error {
	if n := report.FaultCount(); failOnFaults && n > 0 {
		return errors.Newf("%d requests ran twice, were lost or got a bad response", n)
	}
	return nil
}

// awaitPollInterval is the time between requests to a URL that is not ready.
const awaitPollInterval = 100 * time.Millisecond

// Run waits until all URLs return status 200.
func (c *awaitCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	for _, url := range c.URLs {
		for !returnsOK(ctx, url) {
			select {
			case <-time.After(awaitPollInterval):
			case <-ctx.Done():
				return errors.Newf("%s did not return status 200 within the timeout", url)
			}
		}
	}
	return nil
}

func returnsOK(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Run combines the saved reports of several runs.
func (c *combineCommand) Run() error {
	report, err := replay.LoadSavedReports(c.ReportFiles...)
	if err != nil {
		return err
	}
	if err := report.WriteText(os.Stdout); err != nil {
		return errors.Wrap(err, "write report")
	}
	data, err := json.Marshal(report.Summary)
	if err != nil {
		return errors.Wrap(err, "encode summary")
	}
	fmt.Println(string(data))
	return faultError(report, c.FailOnFaults)
}

// buildReport compares the records with the audit logs, if any are configured. When
// the logs cannot be read, it returns a report without the comparison and the error.
func (c *runCommand) buildReport(records []replay.Record) (replay.Report, error) {
	if len(c.AuditURLs) == 0 {
		return replay.NewReport(records, nil), nil
	}
	runs, err := replay.ReadAuditLogs(context.Background(), c.AuditURLs)
	if err != nil {
		return replay.NewReport(records, nil), err
	}
	findings := replay.CompareWithAudit(records, runs)
	return replay.NewReport(records, &findings), nil
}

func (c *runCommand) writeReport(report replay.Report) error {
	var textOut io.Writer = os.Stdout
	if c.SummaryFile == "-" {
		textOut = os.Stderr
	}
	if err := report.WriteText(textOut); err != nil {
		return errors.Wrap(err, "write report")
	}
	if c.SummaryFile == "" {
		return nil
	}
	data, err := json.Marshal(report.Summary)
	if err != nil {
		return errors.Wrap(err, "encode summary")
	}
	if c.SummaryFile == "-" {
		fmt.Println(string(data))
		return nil
	}
	return errors.Wrap(os.WriteFile(c.SummaryFile, append(data, '\n'), 0o644), "write summary")
}

// Run writes the files of a demo.
func (c *demoFilesCommand) Run() error {
	d, err := workload.FindDeployment(c.Deployment)
	if err != nil {
		return err
	}
	files, err := demo.Files(demo.Options{
		Deployment: d, BasePort: c.BasePort, RoutersPerZone: c.RoutersPerZone,
		Engines: c.EngineCount, ServiceInstances: c.ServiceInstanceCount,
	})
	if err != nil {
		return err
	}
	for name, text := range files {
		path := filepath.Join(c.OutputDir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return errors.Wrap(err, "create directory")
		}
		if err := os.WriteFile(path, text, 0o644); err != nil {
			return errors.Wrap(err, "write demo file")
		}
	}
	return nil
}

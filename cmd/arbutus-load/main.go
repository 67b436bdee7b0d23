// Command arbutus-load replays a seeded workload against routers and reports
// what their callers saw; it also writes the inputs of the demo.
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
	AuditURLs         []string      `name:"audit" placeholder:"URL" help:"Base URLs of stand-ins, or of their admin address, whose audit logs are compared."`
	Deployment        string        `default:"kaayal" enum:"kaayal,picha" help:"Deployment whose traffic is sent."`
	Seed              uint64        `default:"1" help:"Seed of the workload."`
	RunID             string        `help:"Text that makes keys and prompts differ from other runs. Default: the time."`
	RequestsPerSecond float64       `name:"rate" default:"20" help:"Mean requests per second before the hot set shifts."`
	RequestCount      int           `name:"requests" default:"0" help:"Number of requests; 0 means as many as fit the duration."`
	Duration          time.Duration `default:"30s" help:"Length of the workload."`
	ShiftAt           time.Duration `help:"Time at which the hot set shifts. Default: half of the duration."`
	MaxInFlight       int           `default:"1000" help:"Bound of concurrent requests."`
	RequestTimeout    time.Duration `name:"timeout" default:"1m" help:"Bound of one request with its repetitions."`
	MaxAttempts       int           `name:"tries" default:"5" help:"How often a request is sent after a failed connection."`
	MaxResumes        int           `name:"resumes" default:"5" help:"How often a broken stream is resumed."`
	RepeatPercent     int           `name:"repeat" default:"10" help:"Percentage of the non-idempotent requests that are sent twice at the same time."`
	ChatPercent       int           `name:"chat" default:"0" help:"Percentage of the completions that are sent as chats."`
	CrashEvery        int           `default:"0" help:"Make each request with a sequence number divisible by this one that crashes engines; 0 means none."`
	SummaryFile       string        `name:"json" placeholder:"FILE" help:"Write the summary as JSON; \"-\" writes it to stdout and the text to stderr."`
	ReportFile        string        `name:"save" placeholder:"FILE" help:"Write what the command combine reads."`
	FailOnFaults      bool          `name:"check" help:"Fail when a request was doubled, lost or cut."`
}

type combineCommand struct {
	ReportFiles  []string `arg:"" name:"files" type:"existingfile" help:"Files that run wrote with --save."`
	FailOnFaults bool     `name:"check" help:"Fail when a request was doubled, lost or cut."`
}

type awaitCommand struct {
	URLs    []string      `arg:"" help:"URLs that must answer with status 200."`
	Timeout time.Duration `default:"20s" help:"Longest wait for all of them."`
}

type demoFilesCommand struct {
	Deployment           string `required:"" enum:"kaayal,picha" help:"Deployment to write files for: kaayal or picha."`
	OutputDir            string `name:"dir" required:"" type:"path" help:"Folder to write to; it is created if needed."`
	BasePort             int    `default:"21000" help:"First of 800 loopback ports."`
	RoutersPerZone       int    `default:"1" help:"Routers in each availability zone."`
	EngineCount          int    `name:"workers" help:"Number of engines. Default: that of the deployment."`
	ServiceInstanceCount int    `name:"service-workers" help:"Number of service instances. Default: that of the deployment."`
}

type cli struct {
	Run       runCommand       `cmd:"" default:"withargs" help:"Replay a workload."`
	Combine   combineCommand   `cmd:"" help:"Report several runs as one; the last line is JSON."`
	Await     awaitCommand     `cmd:"" help:"Wait until servers answer."`
	DemoFiles demoFilesCommand `cmd:"" help:"Write the settings and rules of a demo."`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Description("Seeded load for arbutusline."))
	k.FatalIfErrorf(k.Run())
}

// Run replays the workload and writes the reports.
func (c *runCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	d, err := workload.Find(c.Deployment)
	if err != nil {
		return err
	}
	if c.RunID == "" {
		c.RunID = strconv.FormatInt(time.Now().UnixNano(), 36)
	}
	records := replay.Run(ctx, replay.Config{
		Routers: c.RouterURLs,
		Requests: workload.New(workload.Config{
			Deployment: d, Seed: c.Seed, Run: c.RunID, Rate: c.RequestsPerSecond,
			Count: c.RequestCount, Length: c.Duration, ShiftAt: c.ShiftAt, CrashEvery: c.CrashEvery,
		}),
		MaxInFlight: c.MaxInFlight, Timeout: c.RequestTimeout, Tries: c.MaxAttempts, Resumes: c.MaxResumes,
		RepeatPercent: c.RepeatPercent, ChatPercent: c.ChatPercent,
		Progress: os.Stderr,
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

func faultError(report replay.Report, check bool) error {
	if n := report.Faults(); check && n > 0 {
		return errors.Newf("%d requests were doubled, lost or cut", n)
	}
	return nil
}

// awaitPoll is the time between two questions to a server that does not answer.
const awaitPollInterval = 100 * time.Millisecond

// Run waits until all URLs answer with status 200.
func (c *awaitCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	for _, url := range c.URLs {
		for !returnsOK(ctx, url) {
			select {
			case <-time.After(awaitPollInterval):
			case <-ctx.Done():
				return errors.Newf("no answer with status 200 from %s", url)
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

// Run reports several saved runs as one.
func (c *combineCommand) Run() error {
	report, err := replay.Load(c.ReportFiles...)
	if err != nil {
		return err
	}
	if err := report.Text(os.Stdout); err != nil {
		return errors.Wrap(err, "write report")
	}
	data, err := json.Marshal(report.Summary)
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	fmt.Println(string(data))
	return faultError(report, c.FailOnFaults)
}

// report compares the records with the audit logs, if there are any. When they
// can't be read, the report is without them.
func (c *runCommand) buildReport(records []replay.Record) (replay.Report, error) {
	if len(c.AuditURLs) == 0 {
		return replay.NewReport(records, nil), nil
	}
	runs, err := replay.ReadAudit(context.Background(), c.AuditURLs)
	if err != nil {
		return replay.NewReport(records, nil), err
	}
	findings := replay.Check(records, runs)
	return replay.NewReport(records, &findings), nil
}

func (c *runCommand) writeReport(report replay.Report) error {
	var textOut io.Writer = os.Stdout
	if c.SummaryFile == "-" {
		textOut = os.Stderr
	}
	if err := report.Text(textOut); err != nil {
		return errors.Wrap(err, "write report")
	}
	if c.SummaryFile == "" {
		return nil
	}
	data, err := json.Marshal(report.Summary)
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	if c.SummaryFile == "-" {
		fmt.Println(string(data))
		return nil
	}
	return errors.Wrap(os.WriteFile(c.SummaryFile, append(data, '\n'), 0o644), "write report")
}

// Run writes the files of a demo.
func (c *demoFilesCommand) Run() error {
	d, err := workload.Find(c.Deployment)
	if err != nil {
		return err
	}
	files, err := demo.Files(demo.Options{
		Deployment: d, BasePort: c.BasePort, RoutersPerZone: c.RoutersPerZone,
		Workers: c.EngineCount, ServiceWorkers: c.ServiceInstanceCount,
	})
	if err != nil {
		return err
	}
	for name, text := range files {
		path := filepath.Join(c.OutputDir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return errors.Wrap(err, "create folder")
		}
		if err := os.WriteFile(path, text, 0o644); err != nil {
			return errors.Wrap(err, "write demo file")
		}
	}
	return nil
}

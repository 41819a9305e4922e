package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"switchfork/internal/cli"
	"switchfork/internal/loganalysis"

	"github.com/spf13/cobra"
)

const (
	// maxShareOverRate bounds the number of seconds with more votes than the configured rate allows, as a fraction of all seconds
	// with votes. When a stage changes, the few agents that evaluate the release vote at the same time.
	maxShareOverRate = 0.1

	defaultInterval     = 5 * time.Second
	defaultMaxEndpoints = 10
)

// logsOptions are the flags of the logs command.
type logsOptions struct {
	interval     time.Duration
	maxEndpoints int
	voteRate     float64 // votes per second of all agents together; 0: not checked
}

// newLogsCommand returns the command that reports on the logs of many agents.
func newLogsCommand() *cobra.Command {
	var o logsOptions
	c := &cobra.Command{
		Use:   "logs FOLDER",
		Short: "Add up what many agents did together",
		Long:  "Add up what many agents did together, from a folder that holds one log file (*.log) in text form of each agent.",
		Args: func(c *cobra.Command, args []string) error {
			if len(args) != 1 || !o.isValid() {
				return usageError{fmt.Errorf("%s takes one folder, --every of at least 1s, --endpoints and --calls of at least 0", c.CommandPath())}
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) error { return reportLogs(c.OutOrStdout(), args[0], o) },
	}
	c.Flags().DurationVar(&o.interval, "every", defaultInterval, "time that each row of the table covers")
	c.Flags().IntVar(&o.maxEndpoints, "endpoints", defaultMaxEndpoints, "number of endpoints to show, those with the most warnings first")
	c.Flags().Float64Var(&o.voteRate, "calls", 0, "configured rate of votes a second: fail if all agents together exceed it in over a tenth of the seconds with votes; 0 disables the check")
	cli.AddRenamedFlag(c, "appliances", "endpoints")
	return c
}

func (o logsOptions) isValid() bool {
	return o.interval >= time.Second && o.maxEndpoints >= 0 && o.voteRate >= 0
}

// reportLogs prints the report on a folder's logs and checks the rate of votes in it.
func reportLogs(out io.Writer, folder string, o logsOptions) error {
	files, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil || len(files) == 0 {
		return usageError{fmt.Errorf("folder %s contains no *.log files", folder)}
	}
	report := loganalysis.NewReport(o.interval)
	for _, name := range files {
		if err := readLog(report, name); err != nil {
			return fmt.Errorf("reading the log %s: %w", name, err)
		}
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if err := report.Print(table, o.maxEndpoints); err != nil {
		return err
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("writing the report: %w", err)
	}
	return checkVoteRate(report, o.voteRate)
}

// readLog adds an agent's log file to the report.
func readLog(report *loganalysis.Report, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // the file was only read
	return report.Read(filepath.Base(path), file)
}

// checkVoteRate returns an error if too many seconds have more votes than the rate allows. A rate of 0 disables the check.
func checkVoteRate(report *loganalysis.Report, rate float64) error {
	if rate <= 0 {
		return nil
	}
	seconds := report.SecondsWithVotes()
	_, secondsOver := report.PeakVoteRate(rate)
	if float64(secondsOver) > maxShareOverRate*float64(seconds) {
		return fmt.Errorf("more than %g votes a second in %d of %d seconds with votes", rate, secondsOver, seconds)
	}
	return nil
}

package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"switchfork/internal/loganalysis"

	"github.com/spf13/cobra"
)

// This file owns the count over many agents' logs.

func logsCommand() *cobra.Command {
	var every time.Duration
	var boxes int
	var rate float64
	c := &cobra.Command{
		Use: "logs FOLDER", Short: "count what many agents did together, from a folder with a log an agent (*.log)",
		Args: func(c *cobra.Command, args []string) error {
			if len(args) != 1 || every < time.Second || boxes < 0 || rate < 0 {
				return use{fmt.Errorf("%s wants a folder, --every from 1s, --appliances and --calls not under 0", c.CommandPath())}
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) error { return logs(c.OutOrStdout(), args[0], every, boxes, rate) },
	}
	c.Flags().DurationVar(&every, "every", 5*time.Second, "length of a row")
	c.Flags().IntVar(&boxes, "appliances", 10, "how many appliances are shown")
	c.Flags().Float64Var(&rate, "calls", 0, "the told votes a second: fail where all agents cast more in over a tenth of the seconds with any; 0: don't ask")
	return c
}

// oddSeconds of those with votes may be over the told rate: a change of stage has the few that judge vote at once.
const oddSeconds = 0.1

func logs(out io.Writer, folder string, every time.Duration, boxes int, rate float64) error {
	files, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil || len(files) == 0 {
		return use{fmt.Errorf("%s holds no *.log", folder)}
	}
	book := loganalysis.New(every)
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		err = book.Read(filepath.Base(name), f)
		f.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	book.Print(table, boxes)
	if err := table.Flush(); err != nil {
		return err
	}
	if seconds, over := book.Seconds(), 0; rate > 0 {
		if _, over = book.PeakCalls(rate); float64(over) > oddSeconds*float64(seconds) {
			return fmt.Errorf("over %g votes a second in %d of %d seconds with votes", rate, over, seconds)
		}
	}
	return nil
}

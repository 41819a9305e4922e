package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"switchfork/internal/fakes"
	"switchfork/internal/faulttest"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"
	"golang.org/x/term"
)

// This file owns the command that plays nights: several real agents, with faults between them.

func trialCommand() *cobra.Command {
	var how faulttest.Playing
	var named []string
	var agent string
	c := &cobra.Command{
		Use: "trial [flags] FILE...", Short: "play nights: several agents among stand-ins, with faults on ways and processes",
		Args: func(c *cobra.Command, args []string) error {
			if len(args) == 0 {
				return use{fmt.Errorf("%s wants the files of the nights", c.CommandPath())}
			}
			if how.Agents < 0 || how.Agents > faulttest.AgentsMost {
				return use{fmt.Errorf("--agents is %d, expected 1 to %d, or 0 for each night's own", how.Agents, faulttest.AgentsMost)}
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) error {
			how.Programs = map[string]string{}
			for _, p := range named {
				name, path, is := strings.Cut(p, "=")
				if !is || name == "" || path == "" {
					return use{fmt.Errorf("--program is %q, expected NAME=PATH", p)}
				}
				how.Programs[name] = path
			}
			return trials(c.OutOrStdout(), args, agent, how)
		},
	}
	c.Flags().Int64Var(&how.Seed, "seed", 0, "of loads and faults; 0: each night's own")
	c.Flags().StringVar(&how.Keep, "keep", "", "a folder for every night's logs, time line and records; without it they are kept where a night fails")
	c.Flags().IntVar(&how.Agents, "agents", 0, "how many agents; 0: each night's own")
	c.Flags().StringVar(&agent, "agent", "", "the agent's program; built anew where none is named")
	c.Flags().StringArrayVar(&named, "program", nil, "NAME=PATH, another version of the program, for nights that start one; built anew under that version where none is named")
	c.Flags().BoolVar(&how.Idle, "idle", false, "relays do nothing: each night with a fault should then fail")
	c.Flags().BoolVar(&how.Direct, "direct", false, "no relays at all, for the measure of what they cost: faults on ways are then impossible")
	return c
}

func trials(out io.Writer, files []string, agent string, how faulttest.Playing) error {
	var nights []*faulttest.Night
	var faulty []error
	var others []string // versions that none was named for: the same program under another version's name
	for _, f := range files {
		n, err := faulttest.ReadNight(f)
		if err == nil {
			for _, name := range n.Programs() {
				if how.Programs[name] == "" {
					how.Programs[name], others = name, append(others, name)
				}
			}
			err = n.Playable(how)
		}
		if err != nil {
			faulty = append(faulty, err)
		}
		nights = append(nights, n)
	}
	if len(faulty) > 0 {
		return use{errors.Join(faulty...)}
	}
	dir, err := os.MkdirTemp("", "switchfork-lab")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if how.Programs[""], err = agentProgram(dir, agent); err != nil {
		return err
	}
	for _, name := range others {
		if how.Programs[name], err = fakes.BuildAgent(dir, "other-"+name, "-ldflags", "-X main.version="+name); err != nil {
			return err
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	live := term.IsTerminal(int(os.Stderr.Fd()))
	lines, bad := json.NewEncoder(out), 0
	for _, n := range nights {
		if live {
			bar := progressbar.NewOptions(len(n.Steps), progressbar.OptionSetWriter(os.Stderr), progressbar.OptionClearOnFinish(), progressbar.OptionSetWidth(20))
			how.Progress = func(done, _ int, text string) {
				bar.Describe(fmt.Sprintf("%s %.60s", n.File, text))
				bar.Set(done)
			}
			defer bar.Finish()
		}
		v := faulttest.Play(ctx, n, how)
		if err := lines.Encode(v); err != nil {
			return err
		}
		for _, f := range v.Failures() {
			fmt.Fprintln(os.Stderr, f)
		}
		if !v.Passed {
			bad++
			fmt.Fprintf(os.Stderr, "%s: logs, time line and records are in %s\n", n.File, v.Folder)
		}
		if ctx.Err() != nil {
			return fmt.Errorf("interrupted; nothing that was started is left")
		}
	}
	if bad > 0 {
		return fmt.Errorf("%d of %d nights failed", bad, len(nights))
	}
	return nil
}

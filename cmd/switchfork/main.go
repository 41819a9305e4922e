// Command switchfork is one agent: it serves clients, sends their txns to appliances and votes on releases as the
// module decides. It reads what it is told through package charter and what its operator wants through package operator.
// This file owns the command line; serve.go owns how the parts are put together.
package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/debug"

	"switchfork/internal/options"

	"github.com/spf13/cobra"
)

// Exit codes: 0, failed, wrong use.
const failed, wrongUse = 1, 2

// use marks an error of the command line itself.
type use struct{ error }

// version may be set when the program is linked.
var version = ""

func main() {
	err := commands(os.Stdout).Execute()
	var wrong use
	switch {
	case errors.As(err, &wrong):
		fmt.Fprintln(os.Stderr, "switchfork:", err, "(see switchfork help)")
		os.Exit(wrongUse)
	case err != nil:
		slog.Error("ends", "err", err)
		os.Exit(failed)
	}
}

func commands(out io.Writer) *cobra.Command {
	var file string
	root := &cobra.Command{
		Use: "switchfork", Short: "txn router and release judge", SilenceUsage: true, SilenceErrors: true,
		Args: noArgs, RunE: func(*cobra.Command, []string) error { return serve(file) },
	}
	root.SetOut(out)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return use{err} })
	root.PersistentFlags().StringVar(&file, "operator", os.Getenv("SWITCHFORK_OPERATOR"),
		"the operator's file; SWITCHFORK_OPERATOR where the flag is not given")
	root.AddCommand(
		&cobra.Command{
			Use: "serve", Short: "serve as an agent, as without any command", Args: noArgs,
			RunE: func(*cobra.Command, []string) error { return serve(file) },
		},
		&cobra.Command{
			Use: "check FILE", Short: "read an operator's file, print its faults, or the file in force with every default",
			Args: oneArg, RunE: func(c *cobra.Command, args []string) error { return check(c.OutOrStdout(), args[0]) },
		},
		&cobra.Command{Use: "version", Short: "print the version", Args: noArgs, Run: func(c *cobra.Command, _ []string) {
			fmt.Fprintln(c.OutOrStdout(), "switchfork", release())
		}})
	root.AddCommand(newAdminCommands(out)...)
	return root
}

func noArgs(c *cobra.Command, args []string) error {
	if len(args) > 0 {
		return use{fmt.Errorf("%q is no command of %s", args[0], c.CommandPath())}
	}
	return nil
}

func oneArg(c *cobra.Command, args []string) error {
	if len(args) != 1 {
		return use{fmt.Errorf("%s wants one file, not %d", c.CommandPath(), len(args))}
	}
	return nil
}

// check prints what would be in force.
func check(out io.Writer, path string) error {
	orders, err := options.Read(path)
	if err != nil {
		return err
	}
	orders.Write(out)
	return nil
}

// release is the version that was linked in, or the commit that the program was built from.
func release() string {
	if version != "" {
		return version
	}
	if info, is := debug.ReadBuildInfo(); is {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return s.Value
			}
		}
		return info.Main.Version
	}
	return "unknown"
}

// Command switchfork is one agent of a fleet: it serves clients, routes their requests to endpoints and votes on rollouts as its routing
// policy decides. Package config reads how the deployment configures it, package options what its operator wants of it.
//
// main.go and admin.go hold the command line, serve.go how the parts of an agent are put together and started, settings.go and
// operator_file.go what they are made of, admission.go and coordinator.go the parts that an operator may ask for, reload.go what a
// SIGHUP changes, and drain.go how an agent ends.
package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/debug"

	"switchfork/internal/cli"
	"switchfork/internal/options"

	"github.com/spf13/cobra"
)

// The exit codes of a command that does not succeed.
const (
	exitFailure = 1
	exitUsage   = 2
)

// usageError is an error in the command line itself.
type usageError struct{ error }

// renamedCommands are the commands whose names were withdrawn. Both forms are read.
var renamedCommands = []cli.RenamedCommand{
	{Old: "lead", Current: "leader"},
}

// version may be set when the program is linked.
var version = ""

func main() {
	err := commands(os.Stdout).Execute()
	var usage usageError
	switch {
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, "switchfork:", err, "(see switchfork help)")
		os.Exit(exitUsage)
	case err != nil:
		slog.Error("agent failed", "err", err)
		os.Exit(exitFailure)
	}
}

// commands is the command line, whose commands print to out.
func commands(out io.Writer) *cobra.Command {
	var optionsPath string
	serveAgent := func(*cobra.Command, []string) error { return serve(optionsPath) }
	root := &cobra.Command{
		Use:   "switchfork",
		Short: "Route requests to endpoints and vote on releases",
		Long: "switchfork is one agent of a fleet. It routes the requests of its clients to endpoints, and votes on releases.\n" +
			"Without a command it serves.",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          noArgs,
		RunE:          serveAgent,
	}
	root.SetOut(out)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.PersistentFlags().StringVar(&optionsPath, "operator", os.Getenv("SWITCHFORK_OPERATOR"),
		"path of the operator's file; SWITCHFORK_OPERATOR if the flag is not given")
	root.AddCommand(
		&cobra.Command{
			Use:   "serve",
			Short: "Serve as an agent",
			Long:  "Serve as an agent, as without a command, until SIGTERM, which drains it. SIGHUP reads the configuration and the operator's file again.",
			Args:  noArgs,
			RunE:  serveAgent,
		},
		&cobra.Command{
			Use:   "check FILE",
			Short: "Check an operator's file",
			Long:  "Check an operator's file, and print all its faults, or the options in force with every default.",
			Args:  oneArg,
			RunE: func(c *cobra.Command, args []string) error {
				return checkOptions(c.OutOrStdout(), c.ErrOrStderr(), args[0])
			},
		},
		&cobra.Command{
			Use:   "version",
			Short: "Print the version",
			Long:  "Print the version of the program, or the commit from which it was built.",
			Args:  noArgs,
			Run:   func(c *cobra.Command, _ []string) { printVersion(c.OutOrStdout()) },
		},
	)
	adminCommands := func() []*cobra.Command { return newAdminCommands(out) }
	root.AddCommand(adminCommands()...)
	cli.AddRenamedCommands(root, renamedCommands, adminCommands)
	return root
}

func noArgs(c *cobra.Command, args []string) error {
	if len(args) > 0 {
		return usageError{fmt.Errorf("%q is no command of %s", args[0], c.CommandPath())}
	}
	return nil
}

func oneArg(c *cobra.Command, args []string) error {
	if len(args) != 1 {
		return usageError{fmt.Errorf("%s wants one file, not %d", c.CommandPath(), len(args))}
	}
	return nil
}

// checkOptions reads an operator's file and prints what would be in force. Warnings go to warnings.
func checkOptions(out, warnings io.Writer, path string) error {
	opts, err := options.Read(path)
	if err != nil {
		return err
	}
	for _, keyword := range opts.Renamed {
		_, _ = fmt.Fprintln(warnings, "switchfork:", keyword) // there is no other place to report that standard error can't be written
	}
	opts.Write(out)
	return nil
}

func printVersion(out io.Writer) {
	_, _ = fmt.Fprintln(out, "switchfork", versionText()) // who closes the output doesn't want it
}

// versionText is the version that was linked in, or else the commit or module version that the program was built from.
func versionText() string {
	if version != "" {
		return version
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return info.Main.Version
}

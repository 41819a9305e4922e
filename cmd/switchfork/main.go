// Command switchfork is one agent of a fleet. It serves clients, routes their requests to endpoints and votes on rollouts, as its
// routing policy decides. Package config reads the deployment's configuration, and package options reads the operator's file.
//
// The files of the command:
//
//   - main.go and admin.go: the command line
//   - serve.go: the construction and the start of an agent
//   - settings.go and operator_file.go: reading the configuration and the operator's file
//   - admission.go and coordinator.go: the parts that an operator may enable
//   - reload.go: what a SIGHUP changes
//   - drain.go: the shutdown of an agent
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

// Exit codes of commands that fail.
const (
	exitFailure = 1
	exitUsage   = 2
)

// usageError marks an error in the command line.
type usageError struct{ error }

// renamedCommands are the renamed commands. Their old names are still accepted.
var renamedCommands = []cli.RenamedCommand{
	{Old: "lead", Current: "leader"},
}

// version can be set by the linker's flag -X.
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

// commands returns the root of the command line. All commands print to out.
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
		return usageError{fmt.Errorf("%q is not a command of %s", args[0], c.CommandPath())}
	}
	return nil
}

func oneArg(c *cobra.Command, args []string) error {
	if len(args) != 1 {
		return usageError{fmt.Errorf("%s expects one argument, got %d", c.CommandPath(), len(args))}
	}
	return nil
}

// checkOptions reads an operator's file and prints the resulting options to out, and a warning for each renamed keyword to
// warnings.
func checkOptions(out, warnings io.Writer, path string) error {
	opts, err := options.Read(path)
	if err != nil {
		return err
	}
	for _, keyword := range opts.Renamed {
		_, _ = fmt.Fprintln(warnings, "switchfork:", keyword) // a failed write to standard error can't be reported anywhere
	}
	opts.Write(out)
	return nil
}

func printVersion(out io.Writer) {
	_, _ = fmt.Fprintln(out, "switchfork", versionText()) // a reader that closes the output does not want the version
}

// versionText returns the version that was set by the linker, or else the commit or module version from which the program was built.
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

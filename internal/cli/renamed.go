// Package cli keeps withdrawn names of commands and flags working: they are hidden in the help, do what they did, and warn on
// standard error what they are called now.
//
// It changes command lines while they are built, before they are executed; it holds no state of its own.
package cli

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"
)

// RenamedCommand is a command whose name was withdrawn.
type RenamedCommand struct{ Old, Current string }

// AddRenamedCommands adds the old names of a parent's commands. newCommands makes the parent's commands once more, as a command
// has one name and one parent.
func AddRenamedCommands(parent *cobra.Command, renamed []RenamedCommand, newCommands func() []*cobra.Command) {
	for _, names := range renamed {
		command := commandNamed(newCommands(), names.Current)
		command.Use = strings.Replace(command.Use, names.Current, names.Old, 1)
		command.Hidden = true
		command.PreRun = func(c *cobra.Command, _ []string) {
			warn(c, fmt.Sprintf("the command %s is called %s now", names.Old, names.Current))
		}
		parent.AddCommand(command)
	}
}

func commandNamed(commands []*cobra.Command, name string) *cobra.Command {
	for _, command := range commands {
		if command.Name() == name {
			return command
		}
	}
	panic("no command " + name)
}

// AddRenamedFlag adds the old name of a command's flag.
func AddRenamedFlag(command *cobra.Command, old, current string) {
	flag := *command.Flags().Lookup(current)
	flag.Name = old
	flag.Shorthand = ""
	flag.Hidden = true
	flag.Value = renamedValue{flagValue: flag.Value, warn: func() {
		warn(command, fmt.Sprintf("the flag --%s is called --%s now", old, current))
	}}
	command.Flags().AddFlag(&flag)
}

// flagValue is the value of a flag, as its package defines it.
type flagValue interface {
	String() string
	Set(text string) error
	Type() string
}

// renamedValue warns when the flag is set by its old name.
type renamedValue struct {
	flagValue
	warn func()
}

func (v renamedValue) Set(text string) error {
	v.warn()
	return v.flagValue.Set(text)
}

// warn prints to standard error. There is no other place to report that it can't be written.
func warn(command *cobra.Command, message string) {
	_, _ = fmt.Fprintf(command.ErrOrStderr(), "%s: %s\n", command.Root().Name(), message)
}

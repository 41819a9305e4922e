// Package cli keeps the old names of renamed commands and flags working. Old names are hidden in the help. When one is used,
// a warning on standard error gives the current name.
//
// The package modifies commands while they are built, before they are executed. It holds no state.
package cli

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"
)

// RenamedCommand holds the old and the current name of a renamed command.
type RenamedCommand struct{ Old, Current string }

// AddRenamedCommands adds a hidden command to parent for each old name. Because a cobra command has only one name and one
// parent, newCommands has to create parent's commands anew at each call.
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
	panic("no command is named " + name)
}

// AddRenamedFlag adds a hidden flag with the old name, which sets the same value as the flag with the current name.
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

// flagValue is the interface that package pflag defines for the value of a flag.
type flagValue interface {
	String() string
	Set(text string) error
	Type() string
}

// renamedValue wraps the value of a flag and warns when the flag is set under its old name.
type renamedValue struct {
	flagValue
	warn func()
}

func (v renamedValue) Set(text string) error {
	v.warn()
	return v.flagValue.Set(text)
}

// warn prints to the command's error output. A failed write is ignored, because there is nowhere else to report it.
func warn(command *cobra.Command, message string) {
	_, _ = fmt.Fprintf(command.ErrOrStderr(), "%s: %s\n", command.Root().Name(), message)
}

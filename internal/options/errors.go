package options

import (
	"fmt"
	"strings"
)

// FileError is an error in a line of a file.
type FileError struct {
	Path    string
	Line    int
	Keyword string // as it is written; empty if the line could not be split into words
	Reason  string
}

func (e FileError) Error() string {
	if e.Keyword == "" {
		return fmt.Sprintf("%s:%d: %s", e.Path, e.Line, e.Reason)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.Path, e.Line, e.Keyword, e.Reason)
}

// FileErrors are all errors of a file, in the order of its lines.
type FileErrors []FileError

func (e FileErrors) Error() string {
	lines := make([]string, len(e))
	for i, fault := range e {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// valueError is the error for a value that does not match its keyword's syntax.
type valueError struct {
	value    string
	expected string
}

func (e *valueError) Error() string {
	return fmt.Sprintf("is %q, expected %s", e.value, e.expected)
}

// duplicateError is the error for a keyword that occurred on an earlier line, under the same name or under its other name.
type duplicateError struct {
	first   firstUse
	written string
}

func (e *duplicateError) Error() string {
	if e.first.written != e.written {
		return fmt.Sprintf("is already on line %d, as %s", e.first.line, e.first.written)
	}
	return fmt.Sprintf("is already on line %d", e.first.line)
}

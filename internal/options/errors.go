package options

import (
	"fmt"
	"strings"
)

// FileError is one fault of a file.
type FileError struct {
	Path    string
	Line    int
	Keyword string // empty where the line could not be split into words
	Reason  string
}

func (e FileError) Error() string {
	if e.Keyword == "" {
		return fmt.Sprintf("%s:%d: %s", e.Path, e.Line, e.Reason)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.Path, e.Line, e.Keyword, e.Reason)
}

// FileErrors are all faults of a file, in the order of its lines.
type FileErrors []FileError

func (e FileErrors) Error() string {
	lines := make([]string, len(e))
	for i, fault := range e {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// valueError is a value that does not have a keyword's syntax.
type valueError struct {
	value    string
	expected string
}

func (e *valueError) Error() string {
	return fmt.Sprintf("is %q, expected %s", e.value, e.expected)
}

// duplicateError is a keyword that stands in the file already, by the same name or by another.
type duplicateError struct {
	first   firstUse
	written string
}

func (e *duplicateError) Error() string {
	if e.first.written != e.written {
		return fmt.Sprintf("stands on line %d already, as %s", e.first.line, e.first.written)
	}
	return fmt.Sprintf("stands on line %d already", e.first.line)
}

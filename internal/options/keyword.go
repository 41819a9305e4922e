package options

import (
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// Values with a special meaning.
const (
	valueOn   = "on"
	valueOff  = "off"
	valueAuto = "auto" // the value is taken or derived from the platform's configuration
	valueNone = "none"
)

const maxPort = 1<<16 - 1

// keyword defines the syntax and the meaning of a keyword.
type keyword struct {
	syntax       string // describes the values in error messages
	maxValues    int    // the minimum is 1
	isRepeatable bool   // may occur on several lines if the first values differ
	isReloadable bool   // a reload applies changed values
	parse        func(o *Options, values []string) error
	format       func(o *Options) []string // returns the text to write after the keyword, one element for each line
}

func (k keyword) reloadable() keyword {
	k.isReloadable = true
	return k
}

// enumKeyword defines a keyword whose value is one of the known words.
func enumKeyword(field func(*Options) *string, known ...string) keyword {
	return keyword{
		syntax: strings.Join(known, "|"), maxValues: 1,
		parse: func(o *Options, values []string) error {
			if !slices.Contains(known, values[0]) {
				return &valueError{value: values[0], expected: "one of " + strings.Join(known, ", ")}
			}
			*field(o) = values[0]
			return nil
		},
		format: func(o *Options) []string { return []string{*field(o)} },
	}
}

func switchKeyword(field func(*Options) *bool) keyword {
	return keyword{
		syntax: "on|off", maxValues: 1,
		parse: func(o *Options, values []string) error {
			if values[0] != valueOn && values[0] != valueOff {
				return &valueError{value: values[0], expected: "on or off"}
			}
			*field(o) = values[0] == valueOn
			return nil
		},
		format: func(o *Options) []string {
			if *field(o) {
				return []string{valueOn}
			}
			return []string{valueOff}
		},
	}
}

// countKeyword defines a keyword whose value is a whole number from least to most.
func countKeyword(field func(*Options) *int, least, most int) keyword {
	syntax := fmt.Sprintf("%d to %d", least, most)
	return keyword{
		syntax: syntax, maxValues: 1,
		parse: func(o *Options, values []string) error {
			number, err := strconv.Atoi(values[0])
			if err != nil || number < least || number > most {
				return &valueError{value: values[0], expected: "a whole number, " + syntax}
			}
			*field(o) = number
			return nil
		},
		format: func(o *Options) []string { return []string{strconv.Itoa(*field(o))} },
	}
}

// countOrAutoKeyword defines a countKeyword that also accepts the value auto, which is stored as autoNumber.
func countOrAutoKeyword(field func(*Options) *int, least, most, autoNumber int) keyword {
	count := countKeyword(field, least, most)
	syntax := count.syntax + ", or auto"
	return keyword{
		syntax: syntax, maxValues: 1,
		parse: func(o *Options, values []string) error {
			if values[0] == valueAuto {
				*field(o) = autoNumber
				return nil
			}
			if count.parse(o, values) != nil {
				return &valueError{value: values[0], expected: "a whole number, " + syntax}
			}
			return nil
		},
		format: func(o *Options) []string {
			if *field(o) == autoNumber {
				return []string{valueAuto}
			}
			return count.format(o)
		},
	}
}

// textKeyword defines a keyword whose value is a text for which isValid returns true, or the word none, which is stored as
// an empty text.
func textKeyword(expected string, field func(*Options) *string, isValid func(string) bool) keyword {
	syntax := expected + ", or none"
	return keyword{
		syntax: syntax, maxValues: 1,
		parse: func(o *Options, values []string) error {
			switch {
			case values[0] == valueNone:
				*field(o) = ""
			case isValid(values[0]):
				*field(o) = values[0]
			default:
				return &valueError{value: values[0], expected: syntax}
			}
			return nil
		},
		format: func(o *Options) []string {
			if *field(o) == "" {
				return []string{valueNone}
			}
			return []string{quoteIfNeeded(*field(o))}
		},
	}
}

func isAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" {
		return false
	}
	number, err := strconv.Atoi(port)
	return err == nil && number > 0 && number <= maxPort
}

func isAbsolutePath(text string) bool { return filepath.IsAbs(text) }

func isNotEmpty(text string) bool { return text != "" }

// quoteIfNeeded quotes a text that Parse would otherwise not read back as one word.
func quoteIfNeeded(text string) string {
	if strings.ContainsAny(text, " \t\"'#\\") {
		return strconv.Quote(text)
	}
	return text
}

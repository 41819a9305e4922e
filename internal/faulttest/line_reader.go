package faulttest

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// ParseError is an error in a scenario file. All errors of a file are reported at once, joined.
type ParseError struct {
	File   string
	Line   int
	Reason string
}

func (e *ParseError) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason) }

// lineReader reads a file line by line, splits each line into tokens, and collects the errors of all lines.
type lineReader struct {
	file       string
	lineNumber int
	tokens     []string // tokens of the current line that are not consumed yet
	lineFailed bool     // an error in the current line was reported; further errors in the line are dropped, since they follow from the first
	errs       []error
}

// statementText returns a line without its comment, with its tokens separated by one space.
func statementText(line string) string {
	text, _, _ := strings.Cut(line, "#")
	return strings.Join(strings.Fields(text), " ")
}

func (r *lineReader) startLine(index int, line string) {
	r.lineNumber, r.lineFailed = index+1, false
	r.tokens = strings.Fields(statementText(line))
}

func (r *lineReader) endLine() {
	if len(r.tokens) > 0 {
		r.fail("unexpected %q at the end of the line", strings.Join(r.tokens, " "))
	}
}

func (r *lineReader) fail(format string, args ...any) {
	if !r.lineFailed {
		r.errs = append(r.errs, &ParseError{r.file, r.lineNumber, fmt.Sprintf(format, args...)})
	}
	r.lineFailed = true
}

// nextToken consumes the next token. If there is none, it reports an error that says what was expected.
func (r *lineReader) nextToken(expected string) string {
	if len(r.tokens) == 0 {
		r.fail("unexpected end of line, expected %s", expected)
		return ""
	}
	token := r.tokens[0]
	r.tokens = r.tokens[1:]
	return token
}

// accept consumes the next token and returns true if the token is word, in the current or the former notation.
func (r *lineReader) accept(word string) bool {
	if len(r.tokens) > 0 && currentWord(argumentWord, r.tokens[0]) == word {
		r.tokens = r.tokens[1:]
		return true
	}
	return false
}

// oneOf consumes a token that has to be one of the allowed words, and returns the word in the current notation. errorFormat is the format of
// the error for any other token.
func (r *lineReader) oneOf(allowed []string, expected, errorFormat string) string {
	token := r.nextToken(expected)
	word := currentWord(argumentWord, token)
	if !slices.Contains(allowed, word) {
		r.fail(errorFormat, token)
	}
	return word
}

// restOfLine consumes all remaining tokens of the line.
func (r *lineReader) restOfLine() []string {
	rest := r.tokens
	r.tokens = nil
	return rest
}

// option consumes the token KEY=VALUE, which may be anywhere in the rest of the line.
func (r *lineReader) option(key string) (value string, isSet bool) {
	for i, token := range r.tokens {
		name, value, isOption := strings.Cut(token, "=")
		if isOption && currentWord(optionWord, name) == key {
			r.tokens = slices.Delete(slices.Clone(r.tokens), i, i+1)
			return value, true
		}
	}
	return "", false
}

// number parses a token. It doesn't report an empty token: either the caller has reported it as missing, or it is optional.
func (r *lineReader) number(token, what string, least, most float64) float64 {
	v, err := strconv.ParseFloat(token, 64)
	if (err != nil || v < least || v > most) && token != "" {
		r.fail("%s is %q, expected a number from %g to %g", what, token, least, most)
	}
	return v
}

func (r *lineReader) integer(token, what string, least, most int) int {
	v, err := strconv.Atoi(token)
	if (err != nil || v < least || v > most) && token != "" {
		r.fail("%s is %q, expected a whole number from %d to %d", what, token, least, most)
	}
	return v
}

func (r *lineReader) duration(token, what string) time.Duration {
	v, err := time.ParseDuration(token)
	if (err != nil || v < 0) && token != "" {
		r.fail("%s is %q, expected a time such as 300ms or 2s", what, token)
	}
	return v
}

// share consumes a share from 0 to 1.
func (r *lineReader) share() float64 {
	return r.number(r.nextToken("a share from 0 to 1"), "the share", 0, 1)
}

// timeout consumes "within TIME".
func (r *lineReader) timeout() time.Duration {
	if !r.accept("within") {
		r.fail("no timeout is given, expected within and a time")
		return 0
	}
	return r.duration(r.nextToken("a time"), "the timeout")
}

// numberList parses a list of numbers and ranges such as 1,3..5. All numbers must be below a limit.
func (r *lineReader) numberList(token, what string, below int) (out []int) {
	for _, part := range strings.Split(token, ",") {
		first, last, isRange := strings.Cut(part, "..")
		if !isRange {
			last = first
		}
		from := r.integer(first, what, 0, below-1)
		to := r.integer(last, what, from, below-1)
		for i := from; i <= to && !r.lineFailed; i++ {
			out = append(out, i)
		}
	}
	return out
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

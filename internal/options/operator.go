// Package options reads the operator's file: one setting a line, a keyword and its values, '#' before a comment, quotes
// where a value holds spaces. It owns the keywords, their forms and their defaults, and finds all faults of a file at once;
// it must never decide anything or touch what is at work.
package options

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/agext/levenshtein"
	"github.com/google/shlex"
)

// Options are what the file asks for.
type Options struct {
	Path        string // empty: no file, all defaults
	Log         Log
	Admission   Admission
	Coordinator Coordinator
	Keywords    []string // the keywords that the file holds, in its order
}

// Log is how the log is written.
type Log struct{ Level, Format string }

// Admission is how the door is kept.
type Admission struct {
	Enabled         bool
	Weights         map[string]float64 // a tenant's weight, before the told one
	Client          string             // address, connection or header
	Header          string
	Queues          int
	Requests        int   // 0: from the told limits
	Bytes           int64 // 0: from the told memory
	SendsRetryAfter bool
	Coalesces       bool
}

// Coordinator is how one agent's votes stand for all.
type Coordinator struct {
	Enabled     bool
	Index       int            // -1: as the platform numbers the agents
	Listen      string         // of the TCP way; empty: the platform's datagrams
	Peers       map[int]string // TCP addresses by agent
	StateDir    string         // a folder; empty: no disk
	Lease       time.Duration
	Group       string
	AdminSocket string // a Unix socket's path; empty: none
}

// Defaults are in force where the file says nothing.
func Defaults() *Options {
	return &Options{
		Log: Log{"info", "text"}, Admission: Admission{Weights: map[string]float64{}, Client: "address", Queues: 64, SendsRetryAfter: true},
		Coordinator: Coordinator{Index: -1, Peers: map[int]string{}, Lease: 2 * time.Second, Group: "switchfork"},
	}
}

// FileError is one thing that is wrong with a file.
type FileError struct {
	Path    string
	Line    int
	Keyword string
	Why     string
}

func (f FileError) Error() string {
	if f.Keyword == "" {
		return fmt.Sprintf("%s:%d: %s", f.Path, f.Line, f.Why)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.Path, f.Line, f.Keyword, f.Why)
}

// FileErrors are all that is wrong with a file, in its order.
type FileErrors []FileError

func (f FileErrors) Error() string {
	var lines []string
	for _, one := range f {
		lines = append(lines, one.Error())
	}
	return strings.Join(lines, "\n")
}

// keyword is one setting of the file.
type keyword struct {
	syntax       string // its values, as the messages give them
	maxValues    int    // of values; the least where least is 0
	isRepeatable bool   // may stand more than once, with another first value
	parse        func(o *Options, v []string) error
	format       func(o *Options) []string // its lines in the file in force, without the keyword
}

func wordKeyword(of func(*Options) *string, known ...string) keyword {
	return keyword{
		syntax: strings.Join(known, "|"), maxValues: 1,
		parse: func(o *Options, v []string) error {
			for _, k := range known {
				if v[0] == k {
					*of(o) = k
					return nil
				}
			}
			return fmt.Errorf("is %q, expected one of %s", v[0], strings.Join(known, ", "))
		},
		format: func(o *Options) []string { return []string{*of(o)} },
	}
}

func switchKeyword(of func(*Options) *bool) keyword {
	return keyword{
		syntax: "on|off", maxValues: 1,
		parse: func(o *Options, v []string) error {
			if v[0] != "on" && v[0] != "off" {
				return fmt.Errorf("is %q, expected on or off", v[0])
			}
			*of(o) = v[0] == "on"
			return nil
		},
		format: func(o *Options) []string {
			if *of(o) {
				return []string{"on"}
			}
			return []string{"off"}
		},
	}
}

// countKeyword is a whole number in a range; auto stands for 0, which is worked out from what the agent is told.
func countKeyword(of func(*Options) *int, least, most int, auto bool) keyword {
	k := keyword{syntax: fmt.Sprintf("%d to %d", least, most), maxValues: 1}
	if auto {
		k.syntax += ", or auto"
	}
	k.parse = func(o *Options, v []string) error {
		if auto && v[0] == "auto" {
			*of(o) = 0
			return nil
		}
		n, err := strconv.Atoi(v[0])
		if err != nil || n < least || n > most {
			return fmt.Errorf("is %q, expected a whole number, %s", v[0], k.syntax)
		}
		*of(o) = n
		return nil
	}
	k.format = func(o *Options) []string {
		if auto && *of(o) == 0 {
			return []string{"auto"}
		}
		return []string{strconv.Itoa(*of(o))}
	}
	return k
}

// textKeyword is a value that may be none.
func textKeyword(form string, of func(*Options) *string, good func(string) bool) keyword {
	return keyword{
		syntax: form + ", or none", maxValues: 1,
		parse: func(o *Options, v []string) error {
			if v[0] == "none" {
				*of(o) = ""
				return nil
			}
			if !good(v[0]) {
				return fmt.Errorf("is %q, expected %s, or none", v[0], form)
			}
			*of(o) = v[0]
			return nil
		},
		format: func(o *Options) []string {
			if *of(o) == "" {
				return []string{"none"}
			}
			return []string{quoteIfNeeded(*of(o))}
		},
	}
}

func isAddress(v string) bool {
	host, port, err := net.SplitHostPort(v)
	n, bad := strconv.Atoi(port)
	return err == nil && host != "" && bad == nil && n > 0 && n < 65536
}

func isAbsolutePath(v string) bool { return filepath.IsAbs(v) }

// minLease: shorter ones are lost to a busy machine's delays. agentsMost is how many numbers there are.
const minLease, maxLease, maxAgents = 200 * time.Millisecond, time.Minute, 64

var keywords = map[string]keyword{
	"decider":        switchKeyword(func(o *Options) *bool { return &o.Coordinator.Enabled }),
	"decider-listen": textKeyword("a host and port", func(o *Options) *string { return &o.Coordinator.Listen }, isAddress),
	"decider-state":  textKeyword("a folder's whole path", func(o *Options) *string { return &o.Coordinator.StateDir }, isAbsolutePath),
	"decider-group":  textKeyword("a name", func(o *Options) *string { return &o.Coordinator.Group }, func(v string) bool { return v != "" }),
	"admin":          textKeyword("a Unix socket's whole path", func(o *Options) *string { return &o.Coordinator.AdminSocket }, isAbsolutePath),
	"decider-me": {
		syntax: "0 to 63, or auto", maxValues: 1,
		parse: func(o *Options, v []string) error {
			n, err := strconv.Atoi(v[0])
			if v[0] == "auto" {
				n, err = -1, nil
			} else if err == nil && (n < 0 || n >= maxAgents) {
				err = strconv.ErrRange
			}
			if o.Coordinator.Index = n; err != nil {
				return fmt.Errorf("is %q, expected 0 to 63, or auto", v[0])
			}
			return nil
		},
		format: func(o *Options) []string {
			if o.Coordinator.Index < 0 {
				return []string{"auto"}
			}
			return []string{strconv.Itoa(o.Coordinator.Index)}
		},
	},
	"decider-lease": {
		syntax: "a time from 200ms to 1m", maxValues: 1,
		parse: func(o *Options, v []string) error {
			d, err := time.ParseDuration(v[0])
			if err != nil || d < minLease || d > maxLease {
				return fmt.Errorf("is %q, expected a time from 200ms to 1m", v[0])
			}
			o.Coordinator.Lease = d
			return nil
		},
		format: func(o *Options) []string { return []string{o.Coordinator.Lease.String()} },
	},
	"decider-peer": {
		syntax: "AGENT HOST:PORT", maxValues: 2, isRepeatable: true,
		parse: func(o *Options, v []string) error {
			if len(v) == 2 {
				if n, err := strconv.Atoi(v[0]); err == nil && n >= 0 && n < maxAgents && isAddress(v[1]) {
					o.Coordinator.Peers[n] = v[1]
					return nil
				}
			}
			return fmt.Errorf("is %q, expected an agent's number from 0 to 63, and its host and port", strings.Join(v, " "))
		},
		format: func(o *Options) (lines []string) {
			for n := range maxAgents {
				if a, is := o.Coordinator.Peers[n]; is {
					lines = append(lines, fmt.Sprint(n, " ", a))
				}
			}
			return lines
		},
	},
	"log-level":   wordKeyword(func(o *Options) *string { return &o.Log.Level }, "debug", "info", "warn", "error"),
	"log-form":    wordKeyword(func(o *Options) *string { return &o.Log.Format }, "text", "json"),
	"door":        switchKeyword(func(o *Options) *bool { return &o.Admission.Enabled }),
	"door-queues": countKeyword(func(o *Options) *int { return &o.Admission.Queues }, 1, 65536, false),
	"door-txns":   countKeyword(func(o *Options) *int { return &o.Admission.Requests }, 1, 1_000_000, true),
	"door-bytes": {
		syntax: "a size as 512KiB or 8MiB, or auto", maxValues: 1,
		parse: func(o *Options, v []string) (err error) { o.Admission.Bytes, err = parseSize(v[0]); return err },
		format: func(o *Options) []string {
			if o.Admission.Bytes == 0 {
				return []string{"auto"}
			}
			return []string{strconv.FormatInt(o.Admission.Bytes>>10, 10) + "KiB"}
		},
	},
	"door-client": {
		syntax: "address|connection|header NAME", maxValues: 2,
		parse: func(o *Options, v []string) error {
			switch {
			case v[0] == "header" && len(v) == 2:
				o.Admission.Header = v[1]
			case (v[0] == "address" || v[0] == "connection") && len(v) == 1:
				o.Admission.Header = ""
			default:
				return fmt.Errorf("is %q, expected address, connection, or header and a name", strings.Join(v, " "))
			}
			o.Admission.Client = v[0]
			return nil
		},
		format: func(o *Options) []string {
			return []string{strings.TrimSpace(o.Admission.Client + " " + o.Admission.Header)}
		},
	},
	"come-back":   switchKeyword(func(o *Options) *bool { return &o.Admission.SendsRetryAfter }),
	"same-answer": switchKeyword(func(o *Options) *bool { return &o.Admission.Coalesces }),
	"tenant": {
		syntax: "NAME share WEIGHT", maxValues: 3, isRepeatable: true,
		parse: func(o *Options, v []string) error {
			if len(v) != 3 || v[1] != "share" {
				return fmt.Errorf("is %q, expected a name, the word share and a weight", strings.Join(v, " "))
			}
			w, err := strconv.ParseFloat(v[2], 64)
			if err != nil || !(w > 0) || w > 1e6 {
				return fmt.Errorf("has the weight %q, expected a number over 0", v[2])
			}
			o.Admission.Weights[v[0]] = w
			return nil
		},
		format: func(o *Options) (lines []string) {
			for name, w := range o.Admission.Weights {
				lines = append(lines, quoteIfNeeded(name)+" share "+strconv.FormatFloat(w, 'g', -1, 64))
			}
			sort.Strings(lines)
			return lines
		},
	},
}

func quoteIfNeeded(s string) string {
	if strings.ContainsAny(s, " \t\"'#\\") {
		return strconv.Quote(s)
	}
	return s
}

func parseSize(v string) (int64, error) {
	if v == "auto" {
		return 0, nil
	}
	for unit, shift := range map[string]int{"KiB": 10, "MiB": 20, "GiB": 30} {
		if n, is := strings.CutSuffix(v, unit); is {
			many, err := strconv.ParseInt(n, 10, 64)
			if err == nil && many > 0 && many < math.MaxInt64>>shift {
				return many << shift, nil
			}
		}
	}
	return 0, fmt.Errorf("is %q, expected a size as 512KiB or 8MiB, or auto", v)
}

// Read opens and reads a file; the error is Faults where the file could be read.
func Read(path string) (*Options, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	return Parse(path, bytes.NewReader(raw))
}

// Parse reads a file's text; path is what messages call it.
func Parse(path string, text io.Reader) (*Options, error) {
	o := Defaults()
	o.Path = path
	var faults FileErrors
	met := map[string]int{}
	lines := bufio.NewScanner(text)
	n := 0
	for lines.Scan() {
		n++
		bad := func(keyword, format string, with ...any) {
			faults = append(faults, FileError{path, n, keyword, fmt.Sprintf(format, with...)})
		}
		words, err := shlex.Split(lines.Text())
		switch {
		case err != nil:
			bad("", "a quote that does not end")
			continue
		case len(words) == 0:
			continue
		}
		name, values := words[0], words[1:]
		k, known := keywords[name]
		if !known {
			bad(name, "no such keyword%s", suggestKeyword(name))
			continue
		}
		if len(values) == 0 || len(values) > k.maxValues {
			bad(name, "has %d values, expected %s", len(values), k.syntax)
			continue
		}
		same := name
		if k.isRepeatable {
			same += " " + values[0]
		}
		if first := met[same]; first > 0 {
			bad(name, "stands on line %d already", first)
			continue
		}
		met[same] = n
		if err := k.parse(o, values); err != nil {
			bad(name, "%s", err)
			continue
		}
		o.Keywords = append(o.Keywords, name)
	}
	if err := lines.Err(); err != nil {
		faults = append(faults, FileError{path, n + 1, "", "a line is too long to be read"})
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return o, nil
}

// minSimilarity is the least likeness at which a keyword is offered for one that is not known.
const minSimilarity = 0.5

func suggestKeyword(name string) string {
	best, by := "", minSimilarity
	for _, k := range sortedKeywords() {
		if like := levenshtein.Match(name, k, nil); like > by {
			best, by = k, like
		}
	}
	if best == "" {
		return ", known are " + strings.Join(sortedKeywords(), ", ")
	}
	return ", the nearest is " + best
}

func sortedKeywords() (all []string) {
	for k := range keywords {
		all = append(all, k)
	}
	sort.Strings(all)
	return all
}

// Write writes the file in force, with every default.
func (o *Options) Write(to io.Writer) {
	for _, name := range sortedKeywords() {
		for _, line := range keywords[name].format(o) {
			fmt.Fprintf(to, "%s %s\n", name, line)
		}
	}
}

// reloadable are the keywords that a reload puts in force.
var reloadable = map[string]bool{"log-level": true, "log-form": true, "tenant": true, "decider-peer": true}

// ChangedKeywords names the keywords in which another file differs that need a restart.
func (o *Options) ChangedKeywords(other *Options) (left []string) {
	for _, name := range sortedKeywords() {
		a, b := keywords[name].format(o), keywords[name].format(other)
		if !reloadable[name] && strings.Join(a, "\n") != strings.Join(b, "\n") {
			left = append(left, name)
		}
	}
	return left
}

// UnknownTenants are the tenants of the file that the agent was not told of.
func (o *Options) UnknownTenants(configured []string) (names []string) {
	for name := range o.Admission.Weights {
		known := false
		for _, t := range configured {
			known = known || t == name
		}
		if !known {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

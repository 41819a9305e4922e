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
	form string // its values, as the messages give them
	most int    // of values; the least where least is 0
	many bool   // may stand more than once, with another first value
	set  func(o *Options, v []string) error
	show func(o *Options) []string // its lines in the file in force, without the keyword
}

func word(of func(*Options) *string, known ...string) keyword {
	return keyword{
		form: strings.Join(known, "|"), most: 1,
		set: func(o *Options, v []string) error {
			for _, k := range known {
				if v[0] == k {
					*of(o) = k
					return nil
				}
			}
			return fmt.Errorf("is %q, expected one of %s", v[0], strings.Join(known, ", "))
		},
		show: func(o *Options) []string { return []string{*of(o)} },
	}
}

func onOff(of func(*Options) *bool) keyword {
	return keyword{
		form: "on|off", most: 1,
		set: func(o *Options, v []string) error {
			if v[0] != "on" && v[0] != "off" {
				return fmt.Errorf("is %q, expected on or off", v[0])
			}
			*of(o) = v[0] == "on"
			return nil
		},
		show: func(o *Options) []string {
			if *of(o) {
				return []string{"on"}
			}
			return []string{"off"}
		},
	}
}

// count is a whole number in a range; auto stands for 0, which is worked out from what the agent is told.
func count(of func(*Options) *int, least, most int, auto bool) keyword {
	k := keyword{form: fmt.Sprintf("%d to %d", least, most), most: 1}
	if auto {
		k.form += ", or auto"
	}
	k.set = func(o *Options, v []string) error {
		if auto && v[0] == "auto" {
			*of(o) = 0
			return nil
		}
		n, err := strconv.Atoi(v[0])
		if err != nil || n < least || n > most {
			return fmt.Errorf("is %q, expected a whole number, %s", v[0], k.form)
		}
		*of(o) = n
		return nil
	}
	k.show = func(o *Options) []string {
		if auto && *of(o) == 0 {
			return []string{"auto"}
		}
		return []string{strconv.Itoa(*of(o))}
	}
	return k
}

// text is a value that may be none.
func text(form string, of func(*Options) *string, good func(string) bool) keyword {
	return keyword{
		form: form + ", or none", most: 1,
		set: func(o *Options, v []string) error {
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
		show: func(o *Options) []string {
			if *of(o) == "" {
				return []string{"none"}
			}
			return []string{quoted(*of(o))}
		},
	}
}

func address(v string) bool {
	host, port, err := net.SplitHostPort(v)
	n, bad := strconv.Atoi(port)
	return err == nil && host != "" && bad == nil && n > 0 && n < 65536
}

func path(v string) bool { return filepath.IsAbs(v) }

// leaseLeast: shorter ones are lost to a busy machine's delays. agentsMost is how many numbers there are.
const leaseLeast, leaseMost, agentsMost = 200 * time.Millisecond, time.Minute, 64

var keywords = map[string]keyword{
	"decider":        onOff(func(o *Options) *bool { return &o.Coordinator.Enabled }),
	"decider-listen": text("a host and port", func(o *Options) *string { return &o.Coordinator.Listen }, address),
	"decider-state":  text("a folder's whole path", func(o *Options) *string { return &o.Coordinator.StateDir }, path),
	"decider-group":  text("a name", func(o *Options) *string { return &o.Coordinator.Group }, func(v string) bool { return v != "" }),
	"admin":          text("a Unix socket's whole path", func(o *Options) *string { return &o.Coordinator.AdminSocket }, path),
	"decider-me": {
		form: "0 to 63, or auto", most: 1,
		set: func(o *Options, v []string) error {
			n, err := strconv.Atoi(v[0])
			if v[0] == "auto" {
				n, err = -1, nil
			} else if err == nil && (n < 0 || n >= agentsMost) {
				err = strconv.ErrRange
			}
			if o.Coordinator.Index = n; err != nil {
				return fmt.Errorf("is %q, expected 0 to 63, or auto", v[0])
			}
			return nil
		},
		show: func(o *Options) []string {
			if o.Coordinator.Index < 0 {
				return []string{"auto"}
			}
			return []string{strconv.Itoa(o.Coordinator.Index)}
		},
	},
	"decider-lease": {
		form: "a time from 200ms to 1m", most: 1,
		set: func(o *Options, v []string) error {
			d, err := time.ParseDuration(v[0])
			if err != nil || d < leaseLeast || d > leaseMost {
				return fmt.Errorf("is %q, expected a time from 200ms to 1m", v[0])
			}
			o.Coordinator.Lease = d
			return nil
		},
		show: func(o *Options) []string { return []string{o.Coordinator.Lease.String()} },
	},
	"decider-peer": {
		form: "AGENT HOST:PORT", most: 2, many: true,
		set: func(o *Options, v []string) error {
			if len(v) == 2 {
				if n, err := strconv.Atoi(v[0]); err == nil && n >= 0 && n < agentsMost && address(v[1]) {
					o.Coordinator.Peers[n] = v[1]
					return nil
				}
			}
			return fmt.Errorf("is %q, expected an agent's number from 0 to 63, and its host and port", strings.Join(v, " "))
		},
		show: func(o *Options) (lines []string) {
			for n := range agentsMost {
				if a, is := o.Coordinator.Peers[n]; is {
					lines = append(lines, fmt.Sprint(n, " ", a))
				}
			}
			return lines
		},
	},
	"log-level":   word(func(o *Options) *string { return &o.Log.Level }, "debug", "info", "warn", "error"),
	"log-form":    word(func(o *Options) *string { return &o.Log.Format }, "text", "json"),
	"door":        onOff(func(o *Options) *bool { return &o.Admission.Enabled }),
	"door-queues": count(func(o *Options) *int { return &o.Admission.Queues }, 1, 65536, false),
	"door-txns":   count(func(o *Options) *int { return &o.Admission.Requests }, 1, 1_000_000, true),
	"door-bytes": {
		form: "a size as 512KiB or 8MiB, or auto", most: 1,
		set: func(o *Options, v []string) (err error) { o.Admission.Bytes, err = size(v[0]); return err },
		show: func(o *Options) []string {
			if o.Admission.Bytes == 0 {
				return []string{"auto"}
			}
			return []string{strconv.FormatInt(o.Admission.Bytes>>10, 10) + "KiB"}
		},
	},
	"door-client": {
		form: "address|connection|header NAME", most: 2,
		set: func(o *Options, v []string) error {
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
		show: func(o *Options) []string {
			return []string{strings.TrimSpace(o.Admission.Client + " " + o.Admission.Header)}
		},
	},
	"come-back":   onOff(func(o *Options) *bool { return &o.Admission.SendsRetryAfter }),
	"same-answer": onOff(func(o *Options) *bool { return &o.Admission.Coalesces }),
	"tenant": {
		form: "NAME share WEIGHT", most: 3, many: true,
		set: func(o *Options, v []string) error {
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
		show: func(o *Options) (lines []string) {
			for name, w := range o.Admission.Weights {
				lines = append(lines, quoted(name)+" share "+strconv.FormatFloat(w, 'g', -1, 64))
			}
			sort.Strings(lines)
			return lines
		},
	},
}

func quoted(s string) string {
	if strings.ContainsAny(s, " \t\"'#\\") {
		return strconv.Quote(s)
	}
	return s
}

func size(v string) (int64, error) {
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
			bad(name, "no such keyword%s", nearest(name))
			continue
		}
		if len(values) == 0 || len(values) > k.most {
			bad(name, "has %d values, expected %s", len(values), k.form)
			continue
		}
		same := name
		if k.many {
			same += " " + values[0]
		}
		if first := met[same]; first > 0 {
			bad(name, "stands on line %d already", first)
			continue
		}
		met[same] = n
		if err := k.set(o, values); err != nil {
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

// near is the least likeness at which a keyword is offered for one that is not known.
const near = 0.5

func nearest(name string) string {
	best, by := "", near
	for _, k := range names() {
		if like := levenshtein.Match(name, k, nil); like > by {
			best, by = k, like
		}
	}
	if best == "" {
		return ", known are " + strings.Join(names(), ", ")
	}
	return ", the nearest is " + best
}

func names() (all []string) {
	for k := range keywords {
		all = append(all, k)
	}
	sort.Strings(all)
	return all
}

// Write writes the file in force, with every default.
func (o *Options) Write(to io.Writer) {
	for _, name := range names() {
		for _, line := range keywords[name].show(o) {
			fmt.Fprintf(to, "%s %s\n", name, line)
		}
	}
}

// atOnce are the keywords that a reload puts in force.
var atOnce = map[string]bool{"log-level": true, "log-form": true, "tenant": true, "decider-peer": true}

// ChangedKeywords names the keywords in which another file differs that need a restart.
func (o *Options) ChangedKeywords(other *Options) (left []string) {
	for _, name := range names() {
		a, b := keywords[name].show(o), keywords[name].show(other)
		if !atOnce[name] && strings.Join(a, "\n") != strings.Join(b, "\n") {
			left = append(left, name)
		}
	}
	return left
}

// UnknownTenants are the tenants of the file that the agent was not told of.
func (o *Options) UnknownTenants(told []string) (names []string) {
	for name := range o.Admission.Weights {
		known := false
		for _, t := range told {
			known = known || t == name
		}
		if !known {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Package options reads the file that an operator may give an agent: one setting a line, a keyword and its values, '#'
// before a comment, quotes around a value that holds spaces. The keywords, their syntax and their defaults are defined
// here, and all faults of a file are reported at once. A keyword that was renamed is still read by its old name, and the
// options say which were.
//
// The package only reads and writes: putting options into force is its caller's part. Options are not safe for
// concurrent writes; callers treat them as immutable once they are parsed.
package options

import (
	"slices"
	"sort"
	"time"
)

// Options are the settings that a file asks for, completed by the defaults.
type Options struct {
	Path        string // empty: no file, all defaults
	Log         Log
	Admission   Admission
	Coordinator Coordinator
	Renamed     []RenamedKeyword // the old keywords that the file holds, in its order
}

// Log is how the log is written.
type Log struct{ Level, Format string }

// Admission is how admission control shares the agent's capacity.
type Admission struct {
	Enabled         bool
	Weights         map[string]float64 // by tenant; they override the platform's shares
	ClientIdentity  ClientIdentity     // what tells clients apart
	Header          string             // the header's name if ClientIdentity is ClientByHeader
	Queues          int
	Requests        int   // 0: derived from the platform's limits
	Bytes           int64 // 0: derived from the platform's memory limit
	SendsRetryAfter bool
	Coalesces       bool // identical requests in flight share one answer
}

// Coordinator holds the settings of the election of the one agent that casts the votes for all.
type Coordinator struct {
	Enabled     bool
	Index       int            // -1: as the platform numbers the agents
	Listen      string         // the TCP transport's address; empty: the platform's datagrams
	Peers       map[int]string // TCP addresses by agent
	StateDir    string         // the folder of the durable state; empty: nothing is stored
	Lease       time.Duration
	Group       string
	AdminSocket string // a Unix socket's path; empty: none
}

// ClientIdentity names what tells the clients of a tenant apart in admission control.
type ClientIdentity string

// The identities of clients.
const (
	ClientByAddress    ClientIdentity = "address"
	ClientByConnection ClientIdentity = "connection"
	ClientByHeader     ClientIdentity = "header"
)

const (
	defaultQueues = 64
	defaultLease  = 2 * time.Second
	defaultGroup  = "switchfork"
)

// Defaults returns the options that are in force without a file.
func Defaults() *Options {
	return &Options{
		Log: Log{Level: "info", Format: "text"},
		Admission: Admission{
			Weights:         map[string]float64{},
			ClientIdentity:  ClientByAddress,
			Queues:          defaultQueues,
			SendsRetryAfter: true,
		},
		Coordinator: Coordinator{
			Index: platformIndex,
			Peers: map[int]string{},
			Lease: defaultLease,
			Group: defaultGroup,
		},
	}
}

// UnknownTenants returns the tenants that have a weight here, but that the platform has not configured, in
// alphabetical order.
func (o *Options) UnknownTenants(configured []string) []string {
	var unknown []string
	for tenant := range o.Admission.Weights {
		if !slices.Contains(configured, tenant) {
			unknown = append(unknown, tenant)
		}
	}
	sort.Strings(unknown)
	return unknown
}

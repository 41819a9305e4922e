// Package options reads the operator's file, with which an operator may configure an agent. Each line holds a keyword and
// its values. '#' begins a comment, and a value that contains spaces is quoted. The package defines the keywords with their
// syntax and defaults, and reports all errors of a file at once. The old name of a renamed keyword is still accepted, and
// Options.Renamed lists the old names that a file uses.
//
// The package only reads and writes options. Its callers apply them. Options are not safe for concurrent writes; callers
// treat them as immutable once they are parsed.
package options

import (
	"slices"
	"sort"
	"time"
)

// Options are the settings of an operator's file, with defaults for those that the file does not hold.
type Options struct {
	Path        string // the file's path; empty: there is no file, and all options have defaults
	Log         Log
	Admission   Admission
	Coordinator Coordinator
	Renamed     []RenamedKeyword // the old keywords in the file, in the order of its lines
}

// Log configures the agent's log: the lowest level of messages that are written, and their format.
type Log struct{ Level, Format string }

// Admission configures how admission control shares the agent's capacity among tenants and clients.
type Admission struct {
	Enabled         bool
	Weights         map[string]float64 // by tenant name; a weight overrides the tenant's share in the platform's configuration
	ClientIdentity  ClientIdentity     // what identifies a client
	Header          string             // the name of the header that identifies clients, if ClientIdentity is ClientByHeader
	Queues          int                // number of queues per tenant
	Requests        int                // the limit on open requests; 0: derived from the platform's limits
	Bytes           int64              // the limit on the total size of the bodies of open requests; 0: derived from the platform's memory limit
	SendsRetryAfter bool
	Coalesces       bool // identical requests that are in flight at the same time share one answer
}

// Coordinator configures the election of the leader, the agent that casts the votes of all agents.
type Coordinator struct {
	Enabled     bool
	Index       int            // this agent's index; -1: the index that the platform configures
	Listen      string         // the TCP transport's address; empty: messages are sent as the platform's datagrams
	Peers       map[int]string // TCP addresses by the agent's index
	StateDir    string         // the folder of the durable state; empty: no state is stored
	Lease       time.Duration
	Group       string
	AdminSocket string // the path of the admin Unix socket; empty: there is none
}

// ClientIdentity is what identifies a client of a tenant in admission control.
type ClientIdentity string

// A client is identified by its address, by its connection or by a request header.
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

// Defaults returns the options of an agent without an operator's file.
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

// UnknownTenants returns the tenants that have a weight in these options but are not among the configured ones, in
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

// Package faulttest plays nights: several processes of the program among stand-ins, with a relay on each way between them and faults
// on ways and processes. What is expected is held against the records of stand-ins and relays, never against what agents say.
package faulttest

import (
	"time"

	"switchfork/internal/faulttest/netfault"
)

// This file owns what a night is made of.

// Night is one that can be played.
type Night struct {
	File               string
	Agents, Appliances int
	Slots, Build       int
	Work               time.Duration
	Talk               string // how agents reach each other: datagrams, tcp (the decider's streams), no
	Decider, Folders   bool
	Lease              time.Duration
	Late               []int    // agents that are not there at the start, and that the others' files don't name
	Orders             []string // further lines of each agent's operator's file
	Seed               int64
	Bound              time.Duration // the longest that it may take
	Steps              []Step
	Expects            []Expect
}

// Step is one line that does something.
type Step struct {
	Line  int
	Text  string
	After bool // At counts from the end of the step before, else from the start
	At    time.Duration
	Do    any // one of the types below
}

// Who are agents by their numbers, or by a name that the night binds; all without either.
type Who struct {
	Numbers []int
	Name    string
	Not     bool // all but the name's
}

// Boxes are appliances by their numbers, or those of a build; all without either.
type Boxes struct {
	Numbers []int
	Build   int
}

// Party is an end of a link.
type Party struct {
	Agents    *Who
	Boxes     *Boxes
	Discovery bool
	Launcher  bool
}

// Time is a moment of a night: so long after the start, or after a mark.
type Time struct {
	Mark string
	Plus time.Duration
}

// Measure is something that the records tell.
type Measure struct {
	Name, Arg string
	Of        *Who
	At        *Boxes
	Build     int
	Product   string // empty: all
}

// What steps do.
type (
	load struct {
		rate          float64
		who           Who
		posting, once float64
	}
	fault struct {
		set      func(*netfault.Fault)
		heal     bool
		from, to Party
		both     bool
		kind     string // tcp, datagrams, or both
		streams  bool   // it means something on streams only
		datagram bool   // it means something on datagrams only
	}
	signal struct {
		verb, program string
		who           Who
		fresh         bool
	}
	reload struct {
		who   Who
		what  string
		words []string
		peer  int
	}
	list struct {
		health string
		boxes  Boxes
	}
	add  struct{ many, build int }
	work struct {
		times float64
		boxes Boxes
	}
	failing struct {
		share float64
		boxes Boxes
	}
	news struct {
		build, stage int
		phase        string
		ceiling      float64
	}
	speech struct{ silent bool }
	name   struct {
		name string
		not  *Who
		in   time.Duration
	}
	members struct {
		verb    string
		who, at Who
		in      time.Duration
	}
	checked struct{ name string }
	await   struct {
		check
		in time.Duration
	}
	mark struct{ name string }
)

type check struct {
	what  Measure
	op    string
	value float64
}

// Expect is one line that the records are held against.
type Expect struct {
	Line int
	Text string
	check
	From, To *Time         // nil: the start, the end
	Each     time.Duration // it holds in every span of this length
	Two      string        // never two hold this
}

// The measures, each with what it may be asked by. Those that only a wait may use ask the agents; they are never a verdict.
var measures = map[string]struct{ arg, of, at, build, asks bool }{
	"settled": {of: true}, "median": {of: true}, "p99": {of: true}, "in-time": {of: true}, "declined": {of: true}, "failed": {of: true}, "offered": {of: true},
	"votes": {arg: true, of: true, build: true}, "arrivals": {of: true, at: true}, "busiest": {at: true}, "datagrams": {of: true},
	"calls": {arg: true, of: true}, "alive": {of: true}, "repeats": {at: true},
	"leads": {of: true, asks: true}, "members": {of: true, asks: true}, "log": {arg: true, of: true, asks: true}, "healthy": {of: true, asks: true},
}

var opinions = []string{"on", "back", "hold", "none"}

// AgentsMost bounds a night: more belong into simulated time.
const AgentsMost, appliancesMost = 64, 250

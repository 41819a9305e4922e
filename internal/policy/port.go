// The interface of the decision module: what an agent is told at its start,
// the events that go in and the orders that come out. It holds types only;
// every decision is in brain.go.

package policy

// Micros is a clock time or a span in whole microseconds.
type Micros = int64

// Router is one agent's decision module. It is driven by one caller, in the
// order things happen, and answers each event with the orders that follow.
type Router interface {
	Handle(now Micros, ev Event) []Order
}

// Effect tells how often a product may run.
type Effect int

const (
	InquiryLike Effect = iota // may run again
	Referenced                // carries a mark by which a repeat is dropped
	OnceOnly                  // must never run twice
)

// Scope names the appliances that drop one another's repeats.
type Scope int

const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Ballot is the way votes move a release.
type Ballot int

const (
	BallotAny   Ballot = iota // one vote moves a stage on
	BallotShare               // a share of the agents must stand for it
	BallotTimer               // stages move by themselves; votes hold or send back
)

// Station is the agent's own place among its peers.
type Station struct {
	Me, Agents, Zone int
	Seed             int64
	WarmKeys         bool // appliances work faster for keys that they met lately
	Sized            bool // the list tells the sizes of appliances
	Report           Report
}

// Product is one kind of txn.
type Product struct {
	Effect    Effect
	Group     Scope
	Memory    Micros // how long its group remembers a referenced txn
	SLA       Micros
	Expiry    Micros
	Revenue   float64
	LateShare float64 // part of the revenue that a late answer earns
}

// LaunchPlan is how releases are brought in.
type LaunchPlan struct {
	Caps    []float64 // by stage
	Shares  []float64
	Guarded int  // first stages closed to txns with an effect
	OneWay  bool // an answered key goes to no earlier build
	InPlace bool // the earlier appliances leave as their successors run
}

// Polling is how votes are cast.
type Polling struct {
	Ballot    Ballot
	Stands    Micros // a vote lapses after this
	Patience  Micros // longest wait for the answer to a vote
	CallsPerS float64
	ToGo      int    // votes that move a stage on
	ToGoBack  int    // votes that send a build back
	Tally     Micros // the launcher tells every so often what it counted over all agents; 0: never
}

// Exposure is the count that a build on trial is held to.
type Exposure struct {
	Window    Micros
	Free      float64
	ByProduct bool
}

// ColdStart is what a starting appliance may be sent.
type ColdStart struct {
	From     float64 // share of its capacity that it starts with, at least
	Warm     Micros  // warm after this time at the latest
	Multiple float64
	After    Micros
}

// Handover is what the drain and answer rules allow.
type Handover struct {
	DrainGrace     Micros
	AnswerGrace    Micros
	MaxSubmissions int
	MaxHoldOff     Micros // longest wait that clients follow; 0 where they are not told
}

// Licence is what the deployment permits an agent to do.
type Licence struct {
	Probe, CallOff, Tell, Ask bool
}

// Report tells where in a load report a figure stands, from 1 on; 0 where it is not reported.
type Report struct {
	Busy int // how busy its cores are
	Rate int // the txns that it serves each second
	Held int // the txns that it holds
}

// Fares are prices, as parts of the result.
type Fares struct {
	CrossZone, Waste, Probe, Tell float64
}

// Event is one of the event types below.
type Event any

type (
	// Listed is news of the fleet. Full replaces all that was known.
	Listed struct {
		Full, Failed bool
		Rows         []Row
	}
	// Row is one appliance of the list.
	Row struct {
		ID      uint32
		Build   int
		Zone    int
		State   State
		Cell    int
		Started Micros // 0: long ago
		Weight  float64
	}
	// Taken is a txn that this agent must answer.
	Taken struct {
		ID       uint64
		Product  int
		Customer int
		Key      uint64 // 0: none
		Expires  Micros
		Work     Micros // expected work, 0: not told
		Repeat   bool   // the client says that it has tried before
		Came     Micros // when it came, where it waited before it was handed in; 0: now
	}
	// Begun tells that a streamed answer has started.
	Begun struct{ ID uint64 }
	// Ended is the outcome of one submission.
	Ended struct {
		ID        uint64
		Appliance uint32
		Outcome   Outcome
		Took      Micros
		Over      bool // the txn has its final answer
		Load      []float32
	}
	// Abandoned tells that the client has gone.
	Abandoned struct{ ID uint64 }
	// Bell is the timer that a Wake asked for.
	Bell struct{ Token uint64 }
	// Probed answers a Probe.
	Probed struct {
		Appliance uint32
		Outcome   Outcome
		Took      Micros
		Load      []float32
	}
	// Heard is a peer's message.
	Heard struct {
		From int
		Text []byte
	}
	// Staged is the launcher's news, by itself or as the answer to a vote.
	Staged struct {
		Build, Stage int
		Phase        Phase
		Answer       bool
		Outcome      Outcome
		Cap          float64
		Age          Micros
	}
	// Tallied is the launcher's count for one build and product.
	Tallied struct {
		Build, Product, Many, Lost int
		Took, Age                  Micros
	}
	// Flagged is a client's report of a wrong answer.
	Flagged struct {
		Product   int
		Age       Micros
		Appliance uint32
	}
)

// State of an appliance in the list.
type State int

const (
	Gone State = iota
	Ready
	Draining
)

// Phase of a release.
type Phase int

const (
	OnTrial Phase = iota
	GoingBack
	Released
	Withdrawn
)

// Outcome of a submission, a probe or a vote.
type Outcome int

const (
	OK        Outcome = iota
	Errored           // may have run
	TurnedOff         // full or draining: never ran
	TimedOut          // may have run, may still run
	NoConnect         // never ran
	Broken            // may have run
	CalledOff         // may have run
	Moot              // never sent
	Spoilt            // has run, but what came can't be read
)

// Verdict of a vote.
type Verdict int

const (
	NoVote Verdict = iota
	On
	Hold
	Back
)

// Order is one of the order types below.
type Order any

type (
	// Submit sends a txn to an appliance; Patience 0 waits until its expiry.
	Submit struct {
		ID        uint64
		Appliance uint32
		Patience  Micros
		Before    Micros // its last byte must not leave later; 0: no such time
	}
	// CallOff stops the wait for a submission.
	CallOff struct {
		ID  uint64
		Seq int
	}
	// Decline is a final no that lets the client try again.
	Decline struct {
		ID      uint64
		HoldOff Micros
	}
	// Void is a final answer that promises nothing.
	Void struct{ ID uint64 }
	// Wake asks for a Bell.
	Wake struct {
		At    Micros
		Token uint64
	}
	// Probe checks an appliance.
	Probe struct{ Appliance uint32 }
	// Tell sends a message to one peer.
	Tell struct {
		To   int
		Text []byte
	}
	// Watch asks the list for changes from now on.
	Watch struct{}
	// Vote casts this agent's vote.
	Vote struct {
		Build, Stage int
		Verdict      Verdict
	}
	// Say writes a line in the log.
	Say struct{ Text string }
)

// The parts' records and the notes that pass between them: types only.

package policy

import "math/rand"

// Parts talk by notes put into inboxes, which Handle's loop empties. Events serve as notes; the others are these.
type (
	note any
	beat struct{} // the tick by which parts look at the time
	say  struct {
		step  float64 // on failures
		late  float64 // on lateness
		least float64 // that its sum does not go below
		anew  bool
	} // evidence on its build; or a new stage, where it starts anew
	word struct { // what one of the bench holds of the build
		from, build, stage int
		verdict            Verdict
		at                 Micros
	}
	went struct { // a submission left, here or at a peer
		to   *appliance
		peer bool
	}
	turned struct{ peer bool } // a txn was turned away, here or at a peer
	sent   struct {
		work float64
		sla  Micros
	} // a submission is on its way to this appliance
	told struct { // an outcome, with the record of the appliance that gave it
		AttemptResult
		by      *appliance
		product int     // -1: the txn is over and forgotten
		trial   bool    // its build is on trial
		peer    bool    // a peer had it
		held    float64 // txns that the appliance says it holds; under 0 where it does not say
		own     bool    // an error is more likely the customer's own than the appliance's
		sla     Micros
	}
)

type load struct {
	at   Micros
	work float64
}

// line is what the loop lends each part: time, chance and the outgoing orders.
type line struct {
	now, began Micros
	chance     *rand.Rand
	out        []Command
	mail       []*appliance // those with notes to read
}

type agent struct {
	*line
	fleet  *fleet
	desk   *desk
	judge  *judge
	lister *lister
	parts  []part
	due    Micros // the bell that is asked for
}

// fleet keeps the records, one an appliance, found by id.
type fleet struct {
	inbox
	*line
	byID     map[uint32]*appliance
	all      []*appliance
	probes   bool
	cold     SlowStart
	least    float64 // the lowest limit of one core
	carries  float64 // the txns that a warm appliance does at one time: one core's where no report shows more
	digest   []byte  // which appliances the bench last called busy
	digestAt Micros
	sized    bool    // the list tells sizes
	size     float64 // txns a second that an appliance can do, by the reports; 0: not known
	zones    int     // seen in the list so far
	points   int     // an appliance, on the ring
	salt     uint64
}

// appliance is one record and the small actor that keeps it.
type appliance struct {
	inbox
	*line
	Endpoint
	fleet  *fleet
	listed bool
	queued bool // in the loop's mail
	points []uint64
	probes bool
	cold   SlowStart
	out    int    // own submissions that have no outcome yet
	sends  []load // own submissions while it was cold
	health
}

// health is what is known of one process; a new one under the old id starts afresh.
type health struct {
	limit       float64 // own submissions that it may hold
	cutAt       Micros
	errs        float64 // moving share of errors
	fails       float64 // on failures, 0 at the least
	said, late  float64 // what it says against its build in this stage: on failures, and on lateness
	spoke       bool
	lag         float64 // lateness too, with less saved up: what counts where most are late
	waits, sla  Micros  // no answer since, with submissions out; the SLA time of the last
	strikes     int     // silent outcomes in a row
	heard       Micros  // its last answer
	full, aside Micros  // left alone until then
	rate, busy  float64 // reported while warm, fading
	held        float64 // txns of all agents that it holds, as far as is known
	asking      bool    // a probe is out
}

// lister keeps the agent's subscription where the list must be asked.
type lister struct {
	inbox
	*line
	ask   bool
	due   Micros // -1: a call is out or the watch stands
	fails int
}

// wave is what a part knows of the release in hand.
type wave struct {
	plan         RolloutPlan
	build, stage int
	phase        Phase
	cap          float64
	spoiled      map[int]bool // builds that went back
}

type txn struct {
	RequestArrived
	at, sentAt Micros
	fraction   float64
	spot, who  uint64 // its place on the ring; its key, product and customer
	on         *appliance
	seq, errs  int
	closed     bool      // answered or abandoned, with a submission still out
	ran        *Endpoint // where it may have run first
	forgets    Micros    // when its group forgets what may have run; 0: it has none, or nothing has
	tried      []*appliance
}

// entry of the exposure ledger: a submission at a build, or a txn taken.
type entry struct {
	at    Micros
	build int
}

// answered is a question to the ledger and what it said.
type answered struct {
	of      *[]entry
	build   int
	cap     float64
	entries int
	fits    bool
}

// desk routes txns and answers them.
type desk struct {
	inbox
	*line
	wave
	fleet    *fleet
	judge    *judge
	post     Instance
	products []RequestClass
	hand     RetryLimits
	cold     SlowStart
	count    ExposureLimit
	fare     float64 // of a submission to another zone
	zones    []*zone // by their index
	ledger   [][]entry
	entries  int      // ever made in it
	asked    answered // the last question to it
	txns     map[uint64]*txn
	held     []*txn
	bound    map[uint64]int     // one-way: the build that answered a key
	recent   map[uint64]popular // keys lately taken
	before   map[uint64]popular // those taken in the span before
	forgetAt Micros
	gone     map[uint64]parting // clients turned away who may come back
	left     []parting          // the same in order of time
	returns  float64            // the moving share of those who come back
	jammed   Micros             // when a txn was last given up
	usual    float64            // moving mean of told work, or else of answer times
	blame    map[int]float64    // the moving share of errors, by customer
	pulse    float64            // moving mean of the time between two txns
	lastCame Micros
	top      int
	share    float64 // the slice
}

// judge weighs the build on trial and votes.
type judge struct {
	inbox
	*line
	wave
	fleet                                *fleet
	polling                              VotingRules
	since                                Micros // the stage's start, or this agent's if later
	seen                                 int
	sum                                  float64         // of failures, over all of the build's appliances
	tallies                              []MetricsReport // not weighed yet
	counted                              bool            // a count has come
	earlier                              []sampled       // by product: what the launcher counted of earlier builds, fading
	polled                               int
	poll                                 float64    // what its counts say against the build
	good, bad                            [2]float64 // the earlier build's outcomes, fading
	products                             []RequestClass
	bench                                []int // the agents who judge for all; none where each judges alone
	me, agents                           int
	sits                                 bool   // this agent is one of them
	sheet                                []byte // outcomes that they have not been told yet
	sheetAt, wordAt                      Micros
	digestAt                             Micros
	shares                               bool   // what appliances hold
	words                                []word // the last of each of them
	holds                                Verdict
	cast, want                           Verdict
	wantAt                               Micros // since when it has wanted that
	castAt, quiet                        Micros
	calm, calmSeen                       []float64 // answer times before the release, by product
	done, rate, calmRate                 float64   // txns completed: since the last beat, a µs now, a µs in the calm
	share, calmShare                     float64   // of txns answered in time, now and in the calm
	times                                []float64 // the last answers against those before the release
	middle                               float64   // their median, 0 while it says nothing
	calmMiddle, sampleMiddle, sampleDose float64
	ended, in, calmIn                    float64 // of all that ended or was turned away, likewise
	feltAt                               Micros  // the last beat
	dose                                 float64 // the build's part of the answers
	slow, calmFleet                      float64 // µs that the fleet has dragged; appliances in the calm
}

type parting struct {
	at, first Micros // when it was turned away, and first taken
	who       uint64
}

// sampled is what the launcher counted.
type sampled struct{ many, lost, took float64 }

// popular is how much one key was taken lately.
type popular struct {
	load float64
	seq  uint64
	at   Micros
}

// zone is what this agent knows of a zone's appliances together.
type zone struct {
	limit, slow float64 // of own open submissions; the moving share of slow answers
	out         int
}

const (
	trial   = iota // the newest build in the list, on trial or released last
	earlier        // builds to go to otherwise
	leaving        // builds that went back or are being taken off
)

const takenMark = -1 // an entry of the ledger that is a txn taken

// forgets is when the group forgets a txn of this product that was sent at a time; 0: it has none.
func (p *RequestClass) forgets(sent Micros) Micros {
	if p.Idempotency != Keyed {
		return 0
	}
	return sent + p.DedupWindow
}

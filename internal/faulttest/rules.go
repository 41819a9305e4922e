package faulttest

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"switchfork/internal/fakes"
	"switchfork/internal/faulttest/netfault"
)

// This file owns the rules that hold in each night, judged from the records alone: no I/O, no clock, nothing that an agent says.

// Records are what stand-ins, relays and the rig itself wrote down.
type Records struct {
	Agents    int
	End       netfault.Micros
	Txns      []Txn
	Surplus   int               // connections with bytes behind a whole answer
	Born      []netfault.Micros // of each appliance; -1: long ago
	Slots     int               // txns that an appliance works on at a time, and how long each takes when it is warm
	Work      netfault.Micros
	Calls     map[string][]Call // by place
	Datagrams []int64           // delivered, by sender
	Arrivals  []Arrival
	Votes     []Vote
	Stages    []Stage // by serial
	Lists     [][]Row // by serial
	Lives     [][]Life
	Decider   bool // one agent votes for all
	// When an agent had each word, in the order of time: of the list and of the news.
	HadList, HadNews [][]Had
	// When each arrival was sent by its agent; -1 where the relay can't tell.
	SentAt []netfault.Micros
}

// Life is a process of an agent from its start to its end, with the spans in which it stood still, and when it was asked to leave.
type Life struct {
	From, To   netfault.Micros // To: -1 while it lives
	Left       netfault.Micros // SIGTERM; -1: none
	Standstill [][2]netfault.Micros
}

// Had is when an agent was handed a word.
type Had struct {
	At     netfault.Micros
	Serial int
}

// Breach is a rule that was broken.
type Breach struct {
	Rule string
	At   netfault.Micros
	What string
}

func (b Breach) String() string {
	return fmt.Sprintf("rule %s at %.3f s: %s", b.Rule, float64(b.At)/1e6, b.What)
}

const (
	// answerRoom: an answer within so much of the told time is a machine's own lateness on a busy test machine. The users'
	// bench takes half a second for lost.
	answerRoom = 500 * time.Millisecond
	// drainRoom is the protocol's 50 ms, and what lies between an agent's write and its relay's look at the clock on a busy machine.
	drainRoom = 150 * time.Millisecond
	// capRoom, capFree and capOver are the protocol's: a lower cap binds 150 ms later, 2 submissions and 4% over the cap pass.
	capRoom      = 150 * time.Millisecond
	capFree      = 2
	capOver      = 0.04
	takenRoom    = 250 * time.Millisecond // clients write before agents read: txns so much earlier may count in an agent's window
	breachesMost = 20                     // of a rule that are told
)

// Judge finds what was broken.
func Judge(r *Records) (out []Breach) {
	for _, rule := range []func(*Records) []Breach{oneAnswer, noEffectTwice, drainsKept, coldSpared, underCap, noContraryVotes} {
		found := rule(r)
		slices.SortFunc(found, func(a, b Breach) int { return cmp.Compare(a.At, b.At) })
		if len(found) > breachesMost {
			found = append(found[:breachesMost], Breach{found[0].Rule, found[breachesMost].At, fmt.Sprintf("and %d more", len(found)-breachesMost)})
		}
		out = append(out, found...)
	}
	return out
}

// life is the process that had taken something at a time, nil without one.
func (r *Records) life(agent int, at netfault.Micros) *Life {
	for i := range r.Lives[agent] {
		if l := &r.Lives[agent][i]; l.From <= at && (l.To < 0 || at < l.To) {
			return l
		}
	}
	return nil
}

// still tells whether a process stood still in a span.
func (l *Life) still(from, to netfault.Micros) bool {
	for _, s := range l.Standstill {
		if s[0] <= to && (s[1] < 0 || from <= s[1]) {
			return true
		}
	}
	return false
}

// oneAnswer: every txn that a living agent has taken gets one whole answer before its expiry, and nothing behind it. An agent
// that is killed, stands still or has been told to end some time ago owes nothing for that time.
func oneAnswer(r *Records) (out []Breach) {
	if r.Surplus > 0 {
		out = append(out, Breach{"one answer", r.End, fmt.Sprintf("bytes behind the answer on %d connections", r.Surplus)})
	}
	limit := (Expiry + fakes.AnswerGrace + answerRoom).Microseconds()
	for _, t := range r.Txns {
		for _, y := range t.Tries {
			if y.Surplus {
				out = append(out, Breach{"one answer", y.Ended, fmt.Sprintf("bytes behind the answer to %s of agent %d", y.ID, y.Agent)})
			}
			if y.Sent < 0 {
				continue
			}
			l := r.life(y.Agent, y.Sent)
			due := y.Sent + limit
			if l == nil || l.still(y.Sent, due) || l.To >= 0 && l.To <= due && (l.Left < 0 || y.Sent > l.Left) {
				continue // a killed process owes nothing; one told to leave owes what it had taken until then
			}
			switch {
			case y.Status == 0:
				out = append(out, Breach{"one answer", y.Ended, fmt.Sprintf("agent %d gave %s (%s) no whole answer: %s", y.Agent, y.ID, y.Product, y.Err)})
			case y.Ended > due:
				out = append(out, Breach{"one answer", y.Ended, fmt.Sprintf("agent %d answered %s (%s) %.3f s after it was sent", y.Agent, y.ID, y.Product, float64(y.Ended-y.Sent)/1e6)})
			}
		}
	}
	return out
}

// noEffectTwice: nothing that is known by a key runs twice; what its group dropped as a repeat did not run. Clients come again with
// something that must never run twice only after they were told that it has not, and with a posting well within its group's memory.
func noEffectTwice(r *Records) (out []Breach) {
	first := map[string]Arrival{}
	for _, a := range r.Arrivals {
		if a.Ran < 0 || a.Key == "" {
			continue
		}
		kind := a.Product + " " + a.Key
		if b, again := first[kind]; again {
			out = append(out, Breach{"no effect twice", a.Ran, fmt.Sprintf("%s ran at appliance %d of agent %d, and %.3f s before at appliance %d of agent %d (tries %s and %s)",
				kind, a.Box, a.Agent, float64(a.Ran-b.Ran)/1e6, b.Box, b.Agent, a.ID, b.ID)})
			continue
		}
		first[kind] = a
	}
	return out
}

// had is the newest word that an agent had by a time, and when it got it; -1: none.
func had(words []Had, by netfault.Micros) (serial int, at netfault.Micros) {
	serial, at = -1, -1
	for _, w := range words {
		if w.At > by {
			break
		}
		if w.Serial > serial { // an older one that comes again is no news
			serial, at = w.Serial, w.At
		}
	}
	return serial, at
}

func health(rows []Row, box int) string {
	for _, row := range rows {
		if row.Box == box {
			return row.Health
		}
	}
	return "left"
}

// drainsKept: nothing new to an appliance later than the grace after its agent was told that it drains or is gone. A word
// counts as told once it was handed to the agent's machine, also to a process that stands still.
func drainsKept(r *Records) (out []Breach) {
	grace := (fakes.DrainGrace + drainRoom).Microseconds()
	for i, a := range r.Arrivals {
		if a.Agent < 0 || r.SentAt[i] < 0 {
			continue
		}
		sent := r.SentAt[i]
		l := r.life(a.Agent, sent)
		if l == nil {
			continue
		}
		words := r.HadList[a.Agent]
		newest, _ := had(words, sent)
		if newest < 0 || health(r.Lists[newest], a.Box) == "active" {
			continue
		}
		// Since when it knew: the first word of the run of words, up to the newest, that all say so.
		since := netfault.Micros(-1)
		best := -1
		for _, w := range words {
			if w.At > sent || w.Serial <= best {
				continue
			}
			if best = w.Serial; health(r.Lists[w.Serial], a.Box) == "active" {
				since = -1
			} else if since < 0 {
				since = w.At
			}
		}
		if since >= 0 && sent-since > grace {
			out = append(out, Breach{"drains kept", sent, fmt.Sprintf("agent %d sent %s to appliance %d %.3f s after it was told that it is %s",
				a.Agent, a.ID, a.Box, float64(sent-since)/1e6, health(r.Lists[newest], a.Box))})
		}
	}
	return out
}

// coldSlack is left to chance, in standard deviations of the number that comes.
const coldSlack = 3

// coldSpared: no appliance that has just begun is sent, by all agents together, more than the told multiple of what it can do for
// the told time. What it can do in a span is its slots' time, by the part of its speed that it has.
func coldSpared(r *Records) (out []Breach) {
	window, span := fakes.OverloadAfter.Microseconds(), fakes.SlowStartDuration.Microseconds()
	speed := func(age netfault.Micros) float64 {
		return min(1, fakes.InitialCapacity+(1-fakes.InitialCapacity)*float64(max(0, age))/float64(span))
	}
	times := map[int][]netfault.Micros{}
	for _, a := range r.Arrivals {
		if a.Box < len(r.Born) && r.Born[a.Box] >= 0 && a.At < r.Born[a.Box]+span+window {
			times[a.Box] = append(times[a.Box], a.At)
		}
	}
	for box, born := range r.Born {
		at := times[box]
		slices.Sort(at)
		for i := range at {
			from := at[i] - window
			many := after(at, at[i]) - after(at, from)
			begins, ends := speed(from-born), speed(at[i]-born)
			can := (begins + ends) / 2 * float64(window) * float64(r.Slots) / float64(r.Work) // its speed rises evenly
			if most := fakes.OverloadMultiple * can; float64(many) > most+coldSlack*math.Sqrt(most) {
				out = append(out, Breach{"cold spared", at[i], fmt.Sprintf("appliance %d, %.3f s old, was sent %d txns in %v; it can do %.1f, and bears %.1f",
					box, float64(at[i]-born)/1e6, many, fakes.OverloadAfter, can, most)})
				break
			}
		}
	}
	return out
}

// underCap: in any window, an agent's submissions at a build on trial are at most the free ones and the cap's part of the txns
// that it took. A later build than the news tell of counts as in stage 0; a lower cap binds after the grace, and the count
// begins anew; what is released has no cap.
func underCap(r *Records) (out []Breach) {
	window, grace := fakes.CapWindow.Microseconds(), (fakes.DrainGrace + capRoom).Microseconds()
	for agent := range r.Agents {
		var taken []netfault.Micros
		for _, t := range r.Txns {
			for _, y := range t.Tries {
				if y.Agent == agent && y.Sent >= 0 {
					taken = append(taken, y.Sent)
				}
			}
		}
		slices.Sort(taken)
		sent := map[int][]netfault.Micros{} // by build
		for i, a := range r.Arrivals {
			if a.Agent == agent && r.SentAt[i] >= 0 {
				sent[a.Build] = append(sent[a.Build], r.SentAt[i])
			}
		}
		for build, times := range sent {
			slices.Sort(times)
			caps := r.capsOf(agent, build)
			for _, at := range times {
				now := capAt(caps, at)
				if now >= 1 {
					continue
				}
				from := at - window
				for i, c := range caps { // a lower cap begins a new count once it binds
					if c.at+grace <= at && c.at+grace > from && i > 0 && c.cap < caps[i-1].cap {
						from = c.at + grace
					}
				}
				// The highest that was in force within the window, or within the grace before it.
				highest := now
				for i, c := range caps {
					until := at
					if i+1 < len(caps) {
						until = caps[i+1].at
						if caps[i+1].cap < c.cap {
							until += grace
						}
					}
					if c.at <= at && until > from {
						highest = max(highest, c.cap)
					}
				}
				if highest >= 1 {
					continue
				}
				many := after(times, at) - after(times, from)
				took := after(taken, at) - after(taken, at-window-takenRoom.Microseconds())
				if most := float64(fakes.CapAllowance+capFree) + (highest+capOver)*float64(took); float64(many) > most {
					out = append(out, Breach{"exposure", at, fmt.Sprintf("agent %d sent %d txns to build %d in %.3f s, under a cap of %g, having taken %d: at most %.1f",
						agent, many, build, float64(at-from)/1e6, highest, took, most)})
				}
			}
		}
	}
	return out
}

// after counts how many of sorted times are not later than one.
func after(times []netfault.Micros, at netfault.Micros) int {
	n, _ := slices.BinarySearch(times, at+1)
	return n
}

// capSince is the cap of a build, as an agent knew it.
type capSince struct {
	at  netfault.Micros
	cap float64
}

func capAt(caps []capSince, at netfault.Micros) float64 {
	cap := 1.0
	for _, c := range caps {
		if c.at > at {
			break
		}
		cap = c.cap
	}
	return cap
}

// firstStageCap is what an unannounced build counts under.
const firstStageCap = 0.2

func (r *Records) capsOf(agent, build int) (out []capSince) {
	best := -1
	for _, w := range r.HadNews[agent] {
		if w.Serial < best {
			continue
		}
		best = w.Serial
		s := r.Stages[w.Serial]
		cap := 1.0
		switch {
		case build > s.Build:
			cap = firstStageCap
		case build == s.Build && s.Phase != "live":
			cap = s.Cap
		}
		if n := len(out); n == 0 || out[n-1].cap != cap {
			out = append(out, capSince{w.At, cap})
		}
	}
	return out
}

// noContraryVotes: no two agents' contrary votes on one stage, of which the first may still count when the second comes. An agent's
// own vote back takes the place of its vote on; the other way round is a vote that came late, or worse. It is asked where one votes for all; elsewhere each has its own opinion.
func noContraryVotes(r *Records) (out []Breach) {
	if !r.Decider {
		return nil
	}
	life := fakes.VoteLifetime.Microseconds()
	for i, a := range r.Votes {
		for _, b := range r.Votes[i+1:] {
			own := a.Agent == b.Agent && a.Opinion == "on"
			if !own && a.Build == b.Build && a.Stage == b.Stage && contrary(a.Opinion, b.Opinion) && b.At-a.At < life {
				out = append(out, Breach{"no contrary votes", b.At, fmt.Sprintf("agent %d voted %s on build %d stage %d, agent %d voted %s %.3f s before",
					b.Agent, b.Opinion, b.Build, b.Stage, a.Agent, a.Opinion, float64(b.At-a.At)/1e6)})
			}
		}
	}
	return out
}

func contrary(a, b string) bool { return a == "on" && b == "back" || a == "back" && b == "on" }

// Claim is that an agent holds something over a span of time.
type Claim struct {
	What     string
	Agent    int
	From, To netfault.Micros
}

// claims are what the far ends can tell of who holds what: an agent holds the vote on a stage for as long as its vote stands.
func (r *Records) claims() (out []Claim) {
	for _, v := range r.Votes {
		if v.Opinion != "none" {
			out = append(out, Claim{"vote", v.Agent, v.At, v.At + fakes.VoteLifetime.Microseconds()})
		}
	}
	return out
}

// twoHold finds two agents that hold the same thing at one time.
func twoHold(claims []Claim, what string, in span) string {
	for i, a := range claims {
		for _, b := range claims[i+1:] {
			from, to := max(a.From, b.From, in.from), min(a.To, b.To, in.to)
			if a.What == what && b.What == what && a.Agent != b.Agent && from < to {
				return fmt.Sprintf("agents %d and %d both hold %s at %.3f s", a.Agent, b.Agent, what, float64(from)/1e6)
			}
		}
	}
	return ""
}

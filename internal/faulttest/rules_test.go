package faulttest

import (
	"strings"
	"testing"

	"switchfork/internal/faulttest/netfault"
)

const s = netfault.Micros(1_000_000)

// sound are records in which every rule is kept, with something for each rule to look at.
func sound() *Records {
	r := &Records{
		Agents: 2, End: 20 * s, Decider: true, Born: []netfault.Micros{s, -1}, Slots: 2, Work: s / 100,
		Stages:  []Stage{{7, 2, "live", 1, 0}, {8, 0, "testing", 0.2, 0}, {8, 0, "recalling", 0, 0}},
		Lists:   [][]Row{{{0, "active", 7, 0}, {1, "active", 8, 0}}, {{0, "leaving", 7, 0}, {1, "active", 8, 0}}},
		Lives:   [][]Life{{{From: 0, To: -1, Left: -1}}, {{From: 0, To: 9 * s, Left: -1}}},
		HadList: [][]Had{{{0, 0}, {5 * s, 1}}, {{0, 0}}}, HadNews: [][]Had{{{0, 0}, {2 * s, 1}, {10 * s, 2}}, {{0, 0}, {2 * s, 1}}},
		Votes: []Vote{{3 * s, 0, 8, 0, "on"}, {8 * s, 1, 8, 0, "back"}, {8 * s, 1, 8, 1, "on"}},
	}
	for i := range 20 {
		at := 2*s + netfault.Micros(i)*s/10
		r.Txns = append(r.Txns, Txn{Came: at, Agent: 0, Fate: settled, Tries: []Try{{Agent: 0, ID: "x", Product: inquiry, Sent: at, Ended: at + s/100, Status: 200}}})
	}
	r.arrives(0, 1, 3*s, posting, "k1")
	r.arrives(0, 0, 6*s, inquiry, "") // within the grace
	return r
}

func (r *Records) arrives(agent, box int, at netfault.Micros, product, key string) {
	r.Arrivals = append(r.Arrivals, Arrival{At: at, Box: box, Build: r.Lists[0][box].Build, Agent: agent, ID: "y", Key: key, Product: product, Ran: at})
	r.SentAt = append(r.SentAt, at)
}

// Each rule finds what it is for, and nothing in records that keep all.
func TestRulesFind(t *testing.T) {
	if found := Judge(sound()); len(found) > 0 {
		t.Fatalf("in sound records: %v", found)
	}
	try := func(change func(*Try)) func(*Records) {
		return func(r *Records) { change(&r.Txns[3].Tries[0]) }
	}
	for _, c := range []struct {
		what, rule string // no rule: still sound
		how        func(*Records)
	}{
		{"no answer", "one answer", try(func(y *Try) { y.Status = 0 })},
		{"an answer after its time", "one answer", try(func(y *Try) { y.Ended = y.Sent + 3*s })},
		{"bytes behind an answer", "one answer", try(func(y *Try) { y.Surplus = true })},
		{"bytes behind an answer, later", "one answer", func(r *Records) { r.Surplus = 1 }},
		{"no answer of a process that was killed", "", func(r *Records) { r.Txns[3].Tries[0].Status = 0; r.Lives[0][0].To = 4 * s }},
		{"no answer of one that stands still", "", func(r *Records) {
			r.Txns[3].Tries[0].Status = 0
			r.Lives[0][0].Standstill = [][2]netfault.Micros{{2 * s, 9 * s}}
		}},
		{"no answer of one that was asked to leave only later", "one answer", func(r *Records) {
			r.Txns[3].Tries[0].Status = 0
			r.Lives[0][0].Left, r.Lives[0][0].To = 3*s, 4*s
		}},
		{"a posting that ran again", "no effect twice", func(r *Records) { r.arrives(1, 0, 13*s, posting, "k1") }},
		{"a fee that ran again", "no effect twice", func(r *Records) { r.arrives(0, 1, 3*s, once, "f"); r.arrives(1, 0, 4*s, once, "f") }},
		{"a repeat that was dropped", "", func(r *Records) {
			r.arrives(1, 0, 4*s, posting, "k1")
			r.Arrivals[len(r.Arrivals)-1].Ran = -1
		}},
		{"something new after the grace", "drains kept", func(r *Records) { r.arrives(0, 0, 6*s+s/2, inquiry, "") }},
		{"the same by one who stood still when it was told", "drains kept", func(r *Records) {
			r.Lives[0][0].Standstill = [][2]netfault.Micros{{4 * s, 7 * s}}
			r.arrives(0, 0, 7*s, inquiry, "")
		}},
		{"something new after the grace by one who was never told", "", func(r *Records) { r.arrives(1, 0, 8*s, inquiry, "") }},
		{"a cold appliance that is sent too much", "cold spared", func(r *Records) {
			for i := range netfault.Micros(400) {
				r.arrives(int(i)%2, 0, s+i*s/400, inquiry, "")
			}
		}},
		{"the same once it is warm", "", func(r *Records) {
			r.Born[0] = -1
			for i := range netfault.Micros(400) {
				r.arrives(int(i)%2, 0, s+i*s/400, inquiry, "")
			}
		}},
		{"too much on trial", "exposure", func(r *Records) {
			for i := range netfault.Micros(10) {
				r.arrives(0, 1, 3*s+i, inquiry, "")
			}
		}},
		{"one after the cap is nothing", "exposure", func(r *Records) {
			for i := range netfault.Micros(6) {
				r.arrives(0, 1, 12*s+i, inquiry, "")
			}
		}},
		{"contrary votes", "no contrary votes", func(r *Records) { r.Votes[1].At = 6 * s }},
		{"one's own vote on that comes after its vote back", "no contrary votes", func(r *Records) {
			r.Votes = []Vote{{3 * s, 0, 8, 0, "back"}, {4 * s, 0, 8, 0, "on"}}
		}},
		{"one's own later vote back", "", func(r *Records) { r.Votes[1].At, r.Votes[1].Agent = 6*s, 0 }},
		{"contrary votes where each votes for itself", "", func(r *Records) { r.Votes[1].At, r.Decider = 6*s, false }},
	} {
		r := sound()
		c.how(r)
		found := Judge(r)
		if (c.rule == "") != (len(found) == 0) || c.rule != "" && found[0].Rule != c.rule {
			t.Errorf("%s: found %v, want %q", c.what, found, c.rule)
		}
	}
	r := sound()
	if twoHold(r.claims(), "vote", span{0, r.End}) != "" {
		t.Error("two hold a vote in sound records")
	}
	if r.Votes[1].At = 6 * s; twoHold(r.claims(), "vote", span{0, 6 * s}) != "" || !strings.Contains(twoHold(r.claims(), "vote", span{0, r.End}), "agents 0 and 1") {
		t.Error("two who hold a vote are not found")
	}
}

// A faulty night is told all its faults at once, each with file, line and what was expected; nothing of it is played.
func TestFaultyNights(t *testing.T) {
	for line, want := range map[string]string{
		"agents 0":                                   "from 1 to 64",
		"agents many":                                "whole number",
		"colour red":                                 "begins no line",
		"talk loudly":                                "expected datagrams, tcp or no",
		"0s dance":                                   "is no step",
		"0s load x":                                  "expected a number",
		"0s load 5 agent:7":                          "from 0 to 2",
		"0s load 5 posting=0.8 once=0.5":             "from 0 to 0.",
		"0s slow 1 agents -> discovery":              "expected a time",
		"0s slow 10ms~20ms agents -> discovery":      "spread",
		"0s drop discovery -> launcher":              "no link joins",
		"0s drop agents > discovery":                 "expected -> or <->",
		"0s double 0.2 agents -> discovery":          "on datagrams between agents",
		"0s swap 0.9 agents -> agents":               "from 0 to 0.5",
		"0s reset 5 agents -> agents datagrams":      "on streams",
		"0s drop agents -> launcher datagrams":       "agents at both ends",
		"0s stop agent:lead":                         "is bound by no line",
		"0s stop":                                    "the line ends",
		"0s reload agents shoes":                     "expected operator, peer, discovery",
		"0s add 3":                                   "no build is named",
		"0s news 8 0 dreaming 0.2":                   "expected testing",
		"0s wait settled >= 1":                       "within and a time",
		"0s wait settled ~ 1 within 2s":              "compares nothing",
		"0s go agents please":                        "left over",
		"soon load 5":                                "begins no line",
		"0soon load 5":                               "expected a time",
		"expect leads = 1":                           "agents say of themselves",
		"expect happiness >= 1":                      "is no measure",
		"expect votes:maybe >= 1":                    "is no verdict",
		"expect settled >= 0.9 from later":           "is no time",
		"expect settled >= 0.9 each 1ms":             "at least 100ms",
		"expect alive at=appliance:1 = 3":            "not counted by appliance",
		"expect alive product=fee = 3":               "not counted by product",
		"expect settled product=shoes >= 0.9":        "expected lookup, posting or fee",
		"expect never two hold":                      "what is held",
		"expect settled >= 0.9 of=agent:9":           "from 0 to 2",
		"decider lease=600ms":                        "have no decider",
		"0s fail 0.5 appliance:1..0":                 "from 1 to",
		"0s members add agent:1 at agents":           "within and a time",
		"0s name x who within 1s":                    "expected lead",
		"0s start agent:0 program=other twice":       "left over",
		"operator door on\n0s launcher shouts":       "expected silent or answers",
		"0s trickle 0 agents -> appliances":          "from 1",
		"0s start agent:0 program=../x":              "without a path",
		"0s work 2 machines":                         "names no appliances",
		"0s lose 2 agents <-> agents":                "from 0 to 1",
		"0s mark a\nexpect settled >= 1 from a+soon": "expected a time",
	} {
		_, err := ParseNight("n.txt", "# a comment\n"+line+"\nexpect settled >= 0.9\n")
		if err == nil || !strings.Contains(err.Error(), want) || !strings.HasPrefix(err.Error(), "n.txt:") {
			t.Errorf("%q: %v, want %q", line, err, want)
		}
	}
	_, err := ParseNight("n.txt", "agents 0\ntalk loudly\n0s dance\nexpect leads = 1\n")
	if err == nil || strings.Count(err.Error(), "\n") != 3 || !strings.Contains(err.Error(), "n.txt:4: ") {
		t.Errorf("four faults are told as %v", err)
	}
	if _, err = ParseNight("n.txt", "0s load 5\n"); err == nil || !strings.Contains(err.Error(), "expects nothing") {
		t.Errorf("a night that expects nothing: %v", err)
	}
}

// A connection's end is a kill's also when the next process has begun by the time it is looked at; one that was told to leave is none.
func TestKilledByNow(t *testing.T) {
	r := &Rig{agents: []*agent{{lives: []Life{{From: 10, To: 50, Left: -1}, {From: 51, To: 80, Left: 70}, {From: 81, To: -1, Left: -1}}}}}
	for at, want := range map[netfault.Micros]bool{20: true, 50: true, 60: false, 90: false} {
		if got := r.killed(0, at); got != want {
			t.Errorf("a connection of %d: killed %v, want %v", at, got, want)
		}
	}
}

package simulation

import (
	"reflect"
	"testing"

	"switchfork/internal/cluster/election"
)

func day() Day {
	return Day{Seed: 3, Seconds: 8, Appliances: 6, Slots: 4, Work: 40_000, Load: 0.6, Shares: []float64{0.5, 0.3, 0.2}, Times: 1, OneOff: 200}
}

// The same day gives the same figures, whatever else runs.
func TestSameDaySameFigures(t *testing.T) {
	noisy := day()
	noisy.Noisy, noisy.Times = []int{0}, 10
	a, b := Play(noisy, Fair), Play(noisy, Fair)
	for i := range a.Tenants {
		a.Tenants[i].Took, b.Tenants[i].Took = nil, nil
	}
	if !reflect.DeepEqual(a, b) {
		t.Errorf("one day played twice: %+v and %+v", a, b)
	}
}

// On a quiet day nothing is turned away, and all offered are settled: the model loses nothing.
func TestQuietDaySettlesAll(t *testing.T) {
	for _, kind := range []Kind{Fair, NoCalendar, Fifo} {
		for i, a := range Play(day(), kind).Tenants {
			if a.Offered < 100 || a.Refused+a.GivenUp > 0 || a.InTime < a.Offered*99/100 {
				t.Errorf("%s: tenant %d has %+v", kind, i, a)
			}
		}
	}
}

// The others keep their service while one floods: before the door they do, before a plain line they don't, so the measure
// can fail.
func TestFloodIsSeenInTheModel(t *testing.T) {
	noisy := day()
	noisy.Noisy, noisy.Times, noisy.FreshNames = []int{0}, 20, true
	others := func(kind Kind) (least float64) {
		least = 1
		for _, a := range Play(noisy, kind).Tenants[1:] {
			least = min(least, float64(a.InTime)/float64(a.Offered))
		}
		return least
	}
	if got := others(Fair); got < 0.97 {
		t.Errorf("before the door the others have %.3f in time", got)
	}
	if got := others(Fifo); got > 0.6 {
		t.Errorf("before a line the others have %.3f in time: the flood is none", got)
	}
}

// Random schedules of troubles break nothing, and do where a guard is off.
func TestNights(t *testing.T) {
	first := int64(1)
	broken := func(off election.DisabledGuards) (n int) {
		for seed := first; seed < first+150; seed++ {
			if len(PlayNight(Schedule{Seed: seed, Agents: 3, Seconds: 40, Without: off}).Violations) > 0 {
				n++
			}
		}
		return n
	}
	if n := broken(election.DisabledGuards{}); n > 0 {
		t.Errorf("%d of 150 schedules break a rule", n)
	}
	for name, off := range map[string]election.DisabledGuards{"lease": {LeaseExpiry: true}, "wait": {WaitForEarlierVotes: true}, "record": {QuorumBeforeCast: true}} {
		if broken(off) == 0 {
			t.Errorf("without %s nothing is found", name)
		}
	}
	first = 400 // it takes a ballot that is put again and whose first answers come late: one night in some hundreds
	if broken(election.DisabledGuards{LeaseFromStart: true}) == 0 {
		t.Error("a lease that counts from when its ballot was put again breaks nothing")
	}
}

// On ways that take a tenth of a lease a ballot lasts longer than the pause between two. Somebody leads soon after who led has crashed,
// and keeps the lead.
func TestSlowWaysHaveALead(t *testing.T) {
	for _, agents := range []int{3, 4, 5} {
		for seed := range int64(40) {
			n := PlayNight(Schedule{Seed: seed, Agents: agents, Seconds: 40, Calm: true, Slow: NightLease() / 10})
			if len(n.Violations) > 0 {
				t.Fatalf("%d agents, seed %d: %v", agents, seed, n.Violations)
			}
			for _, gap := range n.Gaps {
				if gap > 3*NightLease() {
					t.Errorf("%d agents, seed %d: without a decider for %.1f s, a lease is %.1f", agents, seed, float64(gap)/1e6, float64(NightLease())/1e6)
				}
			}
		}
	}
}

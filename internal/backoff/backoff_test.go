package backoff

import (
	"container/heap"
	"math/rand"
	"testing"
)

const ms = 1000

// A service of fixed capacity for all: calls wait in turn, a caller gives up after 2 s and asks again, and the call that
// nobody waits for any more is worked on all the same.
type call struct {
	at     Micros
	caller int
	ends   bool // the call's patience, no new call
	serial int
}
type calls []call

func (c calls) Len() int           { return len(c) }
func (c calls) Less(i, j int) bool { return c[i].at < c[j].at }
func (c calls) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *calls) Push(x any)        { *c = append(*c, x.(call)) }
func (c *calls) Pop() any          { o := *c; x := o[len(o)-1]; *c = o[:len(o)-1]; return x }

// served is how many callers have had an answer by the end, and how many calls it took.
func served(callers int, each, until Micros, begin, failed func(caller int) Micros) (done, made int) {
	var line calls
	free, serial := Micros(0), 0
	answered := map[int]bool{}
	for i := range callers {
		heap.Push(&line, call{at: begin(i), caller: i})
	}
	const patient = 2000 * ms
	for line.Len() > 0 {
		c := heap.Pop(&line).(call)
		if c.at > until {
			break
		}
		if c.ends {
			heap.Push(&line, call{at: c.at + failed(c.caller), caller: c.caller})
			continue
		}
		made, serial = made+1, serial+1
		if free = max(free, c.at) + each; free <= c.at+patient {
			answered[c.caller] = true
			continue
		}
		heap.Push(&line, call{at: c.at + patient, caller: c.caller, ends: true, serial: serial})
	}
	return len(answered), made
}

// Found on sockets with 80 agents: 49 never got a list in 40 s, each calling again at once.
func TestAFullPartyIsReachedByAll(t *testing.T) {
	const callers, each, until = 80, 65 * ms, 20_000 * ms
	for seed := int64(1); seed <= 20; seed++ {
		var all []*Backoff
		for i := range callers {
			all = append(all, New(10_000*ms, seed*1000+int64(i)))
		}
		done, made := served(callers, each, until, func(i int) Micros { return all[i].Initial(callers) },
			func(i int) Micros { return all[i].Next(Overloaded) })
		if done < callers || made > 2*callers {
			t.Errorf("seed %d: %d of %d callers served by %d calls", seed, done, callers, made)
		}
	}
	chance := rand.New(rand.NewSource(1))
	soon := func(int) Micros { return 25*ms + chance.Int63n(50*ms) }
	if done, _ := served(callers, each, until, soon, soon); done > callers/2 {
		t.Errorf("asking again at once serves %d of %d: this service shows nothing", done, callers)
	}
}

func TestWaits(t *testing.T) {
	told, untold := New(8_000*ms, 1), New(0, 1)
	for range 1000 {
		if w := told.Next(Overloaded); w < 2_000*ms || w > 8_000*ms {
			t.Fatalf("told 8 s, waits %d", w)
		}
		if w := untold.Next(Overloaded); w < 400*ms || w > 3_200*ms {
			t.Fatalf("not told, waits %d", w)
		}
	}
	for again, most := New(8_000*ms, 2), Micros(75*ms); most < 1200*ms; most *= 2 {
		if w := again.Next(Unreachable); w > most {
			t.Errorf("after a break waits %d, over %d", w, most)
		}
	}
	again := New(8_000*ms, 3)
	for range 9 {
		again.Next(Unreachable)
	}
	again.Reset()
	if w := again.Next(Unreachable); w > 75*ms {
		t.Errorf("failures are not forgotten: waits %d", w)
	}
	for _, c := range []struct {
		agents int
		most   Micros
	}{{1, 0}, {3, 120 * ms}, {80, 4_000 * ms}, {100_000, 4_000 * ms}} {
		for seed := range int64(50) {
			if w := New(8_000*ms, seed).Initial(c.agents); w < 0 || w > c.most {
				t.Errorf("%d agents: begins after %d, over %d", c.agents, w, c.most)
			}
		}
	}
	for seed := range int64(50) {
		if w := New(0, seed).Initial(100_000); w != 0 {
			t.Errorf("no time told: begins after %d", w)
		}
	}
	New(-1, 1).Initial(-5) // absurd figures do no harm
	New(1, 1).Next(Overloaded)
}

package backoff

import (
	"container/heap"
	"math/rand"
	"testing"
)

const millisecond = 1000

// A service of fixed capacity for all: calls wait in turn, a caller gives up after 2 s and asks again, and the call that
// nobody waits for any more is worked on all the same.
type event struct {
	at        Micros
	caller    int
	isTimeout bool // the call's patience, no new call
	serial    int
}
type eventQueue []event

func (c eventQueue) Len() int           { return len(c) }
func (c eventQueue) Less(i, j int) bool { return c[i].at < c[j].at }
func (c eventQueue) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *eventQueue) Push(x any)        { *c = append(*c, x.(event)) }
func (c *eventQueue) Pop() any          { o := *c; x := o[len(o)-1]; *c = o[:len(o)-1]; return x }

// simulateService is how many callers have had an answer by the end, and how many calls it took.
func simulateService(callers int, serviceTime, end Micros, initialDelay, retryDelay func(caller int) Micros) (answeredCount, callCount int) {
	var events eventQueue
	freeAt, serial := Micros(0), 0
	answered := map[int]bool{}
	for i := range callers {
		heap.Push(&events, event{at: initialDelay(i), caller: i})
	}
	const callTimeout = 2000 * millisecond
	for events.Len() > 0 {
		next := heap.Pop(&events).(event)
		if next.at > end {
			break
		}
		if next.isTimeout {
			heap.Push(&events, event{at: next.at + retryDelay(next.caller), caller: next.caller})
			continue
		}
		callCount, serial = callCount+1, serial+1
		if freeAt = max(freeAt, next.at) + serviceTime; freeAt <= next.at+callTimeout {
			answered[next.caller] = true
			continue
		}
		heap.Push(&events, event{at: next.at + callTimeout, caller: next.caller, isTimeout: true, serial: serial})
	}
	return len(answered), callCount
}

// Found on sockets with 80 agents: 49 never got a list in 40 s, each calling again at once.
func TestOverloadedServiceIsReachedByAllCallers(t *testing.T) {
	const callers, serviceTime, end = 80, 65 * millisecond, 20_000 * millisecond
	for seed := int64(1); seed <= 20; seed++ {
		var backoffs []*Backoff
		for i := range callers {
			backoffs = append(backoffs, New(10_000*millisecond, seed*1000+int64(i)))
		}
		answered, calls := simulateService(callers, serviceTime, end, func(i int) Micros { return backoffs[i].Initial(callers) },
			func(i int) Micros { return backoffs[i].Next(Overloaded) })
		if answered < callers || calls > 2*callers {
			t.Errorf("seed %d: %d of %d callers served by %d calls", seed, answered, callers, calls)
		}
	}
	random := rand.New(rand.NewSource(1))
	immediateRetry := func(int) Micros { return 25*millisecond + random.Int63n(50*millisecond) }
	if answered, _ := simulateService(callers, serviceTime, end, immediateRetry, immediateRetry); answered > callers/2 {
		t.Errorf("asking again at once serves %d of %d: this service shows nothing", answered, callers)
	}
}

func TestDelaysStayInBounds(t *testing.T) {
	bounded, unbounded := New(8_000*millisecond, 1), New(0, 1)
	for range 1000 {
		if delay := bounded.Next(Overloaded); delay < 2_000*millisecond || delay > 8_000*millisecond {
			t.Fatalf("told 8 s, waits %d", delay)
		}
		if delay := unbounded.Next(Overloaded); delay < 400*millisecond || delay > 3_200*millisecond {
			t.Fatalf("not told, waits %d", delay)
		}
	}
	for reconnecting, limit := New(8_000*millisecond, 2), Micros(75*millisecond); limit < 1200*millisecond; limit *= 2 {
		if delay := reconnecting.Next(Unreachable); delay > limit {
			t.Errorf("after a break waits %d, over %d", delay, limit)
		}
	}
	reconnecting := New(8_000*millisecond, 3)
	for range 9 {
		reconnecting.Next(Unreachable)
	}
	reconnecting.Reset()
	if delay := reconnecting.Next(Unreachable); delay > 75*millisecond {
		t.Errorf("failures are not forgotten: waits %d", delay)
	}
	for _, test := range []struct {
		agents int
		most   Micros
	}{{1, 0}, {3, 120 * millisecond}, {80, 4_000 * millisecond}, {100_000, 4_000 * millisecond}} {
		for seed := range int64(50) {
			if delay := New(8_000*millisecond, seed).Initial(test.agents); delay < 0 || delay > test.most {
				t.Errorf("%d agents: begins after %d, over %d", test.agents, delay, test.most)
			}
		}
	}
	for seed := range int64(50) {
		if delay := New(0, seed).Initial(100_000); delay != 0 {
			t.Errorf("no time told: begins after %d", delay)
		}
	}
	New(-1, 1).Initial(-5) // absurd figures do no harm
	New(1, 1).Next(Overloaded)
}

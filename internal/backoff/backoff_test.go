package backoff

import (
	"container/heap"
	"math/rand"
	"testing"
)

// event is a call that reaches the simulated service, or the timeout of such a call.
type event struct {
	at        Micros
	caller    int
	isTimeout bool
}

// eventQueue orders events by time. It implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	*q = (*q)[:last]
	return popped
}

// callTimeout is how long a caller waits for an answer.
const callTimeout = 2000 * millisecond

// simulateService returns how many callers got an answer by the time end, and how many calls were made by then. The service has
// a fixed capacity and serves calls in the order of their arrival. A caller gives up after callTimeout and calls again, but the
// service still works on the call that was given up.
func simulateService(callers int, serviceTime, end Micros, initialDelay, retryDelay func(caller int) Micros) (answeredCount, callCount int) {
	var events eventQueue
	freeAt := Micros(0)
	answered := map[int]bool{}
	for caller := range callers {
		heap.Push(&events, event{at: initialDelay(caller), caller: caller})
	}
	for events.Len() > 0 {
		next := heap.Pop(&events).(event)
		if next.at > end {
			break
		}
		if next.isTimeout {
			heap.Push(&events, event{at: next.at + retryDelay(next.caller), caller: next.caller})
			continue
		}
		callCount++
		freeAt = max(freeAt, next.at) + serviceTime
		if freeAt <= next.at+callTimeout {
			answered[next.caller] = true
			continue
		}
		heap.Push(&events, event{at: next.at + callTimeout, caller: next.caller, isTimeout: true})
	}
	return len(answered), callCount
}

// All callers get an answer from an overloaded service. With immediate retries over real connections, 49 of 80 agents got no
// endpoint list in 40 s.
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
			t.Errorf("seed %d: got %d of %d callers answered with %d calls, want all with two calls each at most", seed, answered, callers, calls)
		}
	}
	random := rand.New(rand.NewSource(1))
	immediateRetry := func(int) Micros { return 25*millisecond + random.Int63n(50*millisecond) }
	if answered, _ := simulateService(callers, serviceTime, end, immediateRetry, immediateRetry); answered > callers/2 {
		t.Errorf("immediate retries: got %d of %d callers answered, want at most half, because the simulated service has to be overloaded", answered, callers)
	}
}

// Each kind of delay stays within its bounds, and Reset ends the growth of the reconnect delay.
func TestDelaysStayInBounds(t *testing.T) {
	withDeadline, withoutDeadline := New(8_000*millisecond, 1), New(0, 1)
	for range 1000 {
		if delay := withDeadline.Next(Overloaded); delay < 2_000*millisecond || delay > 8_000*millisecond {
			t.Fatalf("deadline of 8 s: got delay %d after Overloaded, want 2 to 8 s", delay)
		}
		if delay := withoutDeadline.Next(Overloaded); delay < 400*millisecond || delay > 3_200*millisecond {
			t.Fatalf("no deadline: got delay %d after Overloaded, want 0.4 to 3.2 s", delay)
		}
	}
	for reconnecting, limit := New(8_000*millisecond, 2), 75*millisecond; limit < 1200*millisecond; limit *= 2 {
		if delay := reconnecting.Next(Unreachable); delay > limit {
			t.Errorf("got reconnect delay %d, want %d at most", delay, limit)
		}
	}
	reconnecting := New(8_000*millisecond, 3)
	for range 9 {
		reconnecting.Next(Unreachable)
	}
	reconnecting.Reset()
	if delay := reconnecting.Next(Unreachable); delay > 75*millisecond {
		t.Errorf("got reconnect delay %d after Reset, want 75 ms at most", delay)
	}
	for _, test := range []struct {
		agents  int
		longest Micros
	}{{1, 0}, {3, 120 * millisecond}, {80, 4_000 * millisecond}, {100_000, 4_000 * millisecond}} {
		for seed := range int64(50) {
			if delay := New(8_000*millisecond, seed).Initial(test.agents); delay < 0 || delay > test.longest {
				t.Errorf("%d agents: got initial delay %d, want 0 to %d", test.agents, delay, test.longest)
			}
		}
	}
	for seed := range int64(50) {
		if delay := New(0, seed).Initial(100_000); delay != 0 {
			t.Errorf("no deadline: got initial delay %d, want 0", delay)
		}
	}
	// Invalid arguments must not cause a panic.
	New(-1, 1).Initial(-5)
	New(1, 1).Next(Overloaded)
}

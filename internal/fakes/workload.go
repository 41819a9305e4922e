package fakes

import (
	"math/rand"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// perMille scales settings that are stored as integers so that they can be read without a lock.
	perMille = 1000
	// queueLengthPerSlot is the number of requests that may wait for each slot of an endpoint. Further requests are rejected.
	queueLengthPerSlot = 8
)

// requestQueue bounds how many requests an endpoint works on at a time, and how many wait for a slot. Any goroutine may use it.
type requestQueue struct {
	slots      chan struct{}
	maxQueued  int64
	inProgress atomic.Int64 // number of requests that are queued or being worked on
}

func newRequestQueue(slots int) *requestQueue {
	return &requestQueue{slots: make(chan struct{}, slots), maxQueued: int64(queueLengthPerSlot * slots)}
}

// enter admits a request unless the queue is full. An admitted request has to call leave at its end.
func (q *requestQueue) enter() bool {
	if q.inProgress.Add(1) > int64(cap(q.slots))+q.maxQueued {
		q.inProgress.Add(-1)
		return false
	}
	return true
}

func (q *requestQueue) leave() { q.inProgress.Add(-1) }

func (q *requestQueue) acquireSlot() { q.slots <- struct{}{} }

func (q *requestQueue) releaseSlot() { <-q.slots }

// workload decides how long each request of an endpoint takes and whether it fails. Any goroutine may use it.
type workload struct {
	mean             time.Duration
	slowdownPerMille atomic.Int64
	errorsPerMille   atomic.Int64
	slowStart        atomic.Pointer[slowStart]

	randomMu sync.Mutex
	random   *rand.Rand
}

// slowStart describes an endpoint that starts with a fraction of its full speed. The speed rises linearly to full speed.
type slowStart struct {
	startedAt time.Time
	initial   float64
	duration  time.Duration
}

func newWorkload(mean time.Duration, seed int64) *workload {
	w := &workload{mean: mean, random: rand.New(rand.NewSource(seed))}
	w.slowdownPerMille.Store(perMille)
	return w
}

// do sleeps for the service time of one request. It reports whether the request succeeds.
func (w *workload) do() bool {
	w.randomMu.Lock()
	workFactor, errorDraw := w.random.ExpFloat64(), w.random.Int63n(perMille)
	w.randomMu.Unlock()
	slowdown := float64(w.slowdownPerMille.Load()) / perMille
	time.Sleep(time.Duration(workFactor * float64(w.mean) * slowdown / w.speed()))
	return errorDraw >= w.errorsPerMille.Load()
}

// speed returns the current fraction of the endpoint's full speed.
func (w *workload) speed() float64 {
	start := w.slowStart.Load()
	if start == nil {
		return 1
	}
	progress := float64(time.Since(start.startedAt)) / float64(start.duration)
	return min(1, start.initial+(1-start.initial)*progress)
}

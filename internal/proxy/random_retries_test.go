package proxy

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"switchfork/internal/admission"
	"switchfork/internal/agent"
	"switchfork/internal/agenttest"
	"switchfork/internal/fakes"
	"switchfork/internal/policy"
	"switchfork/internal/protocol"
)

const (
	// replySlack is by how much a reply may come after its deadline: the protocol's half a second, and 50 ms on sockets.
	replySlack = 550 * time.Millisecond
	// cancelSlack is how long after its client has left an attempt may still begin.
	cancelSlack = 100 * time.Millisecond
)

// drawnRetry is a request of a drawn client: a first attempt or a retry of one that asks for the same.
type drawnRetry struct {
	request   *agent.Request
	target    string
	leavesAt  time.Time // zero: waits for the reply
	doneCount atomic.Int64
}

// drawnScript is a routing policy that rejects, fails, holds and attempts requests, and forgets those whose clients leave.
type drawnScript struct {
	mu     sync.Mutex
	random *rand.Rand
	open   map[uint64]bool
}

func (s *drawnScript) respond(event policy.Event) []policy.Command {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch event := event.(type) {
	case policy.RequestArrived:
		s.open[event.ID] = true
		atDeadline := policy.SetTimer{At: event.Deadline, Token: event.ID}
		switch s.random.Intn(5) {
		case 0:
			delete(s.open, event.ID)
			return []policy.Command{policy.Reject{RequestID: event.ID}}
		case 1: // held until its deadline
			return []policy.Command{atDeadline}
		}
		return []policy.Command{atDeadline, policy.SendAttempt{RequestID: event.ID, EndpointID: protocol.EndpointID(agenttest.Host)}}
	case policy.RequestCancelled:
		delete(s.open, event.RequestID)
	case policy.TimerFired:
		return s.fail(event.Token)
	case policy.AttemptResult:
		if event.RequestDone {
			delete(s.open, event.RequestID)
			return nil
		}
		if s.open[event.RequestID] && s.random.Intn(2) == 0 {
			return []policy.Command{policy.SendAttempt{RequestID: event.RequestID, EndpointID: protocol.EndpointID(agenttest.Host)}}
		}
		return s.fail(event.RequestID)
	}
	return nil
}

func (s *drawnScript) fail(id uint64) []policy.Command {
	if !s.open[id] {
		return nil
	}
	delete(s.open, id)
	return []policy.Command{policy.Fail{RequestID: id}}
}

// arriveDrawn sends a drawn request to the admission loop, and cancels it when its client leaves.
func (g *testAdmission) arriveDrawn(t *testing.T, random *rand.Rand, id uint64, replied *sync.WaitGroup) *drawnRetry {
	t.Helper()
	drawn := &drawnRetry{target: fmt.Sprintf("/posting?sid=%d&copies=%d", random.Intn(3), random.Intn(2))}
	wait := time.Duration(20+random.Intn(150)) * time.Millisecond
	if random.Intn(10) == 0 { // a retry that joins this one has to be answered long before
		wait += 2 * replySlack
	}
	encoded := protocol.EncodeRequest(http.MethodPost, drawn.target, "host", http.Header{requestIDHeader: {fmt.Sprint(id)}}, []byte("body"))
	drawn.request = agent.NewRequest(encoded, time.Now().Add(wait), func() { drawn.doneCount.Add(1) })
	deadline := g.loop.clock.At(drawn.request.Deadline)
	sid, _, _ := strings.Cut(drawn.target, "&")
	g.loop.mailbox.Put(requestArrival{
		arrival: admission.Arrival{
			ID: id, Key: protocol.Hash64(sid), Deadline: deadline, Bytes: 100, Content: contentFingerprint(http.MethodPost, drawn.target, nil),
		},
		event:   policy.RequestArrived{ID: id, Deadline: deadline},
		request: drawn.request,
	})
	if random.Intn(3) == 0 {
		patience := time.Duration(random.Intn(int(wait)))
		drawn.leavesAt = time.Now().Add(patience)
		time.AfterFunc(patience, func() { g.loop.mailbox.Put(requestCancelled{id}) })
		return drawn
	}
	replied.Go(func() { drawn.checkReply(t, id) })
	return drawn
}

// checkReply waits for the reply to a drawn request whose client waits, and checks that it comes in time and answers the request's target.
func (r *drawnRetry) checkReply(t *testing.T, id uint64) {
	t.Helper()
	select {
	case reply := <-r.request.Replies():
		if reply.Response != nil && string(reply.Response.Body) != "POST "+r.target {
			t.Errorf("request %d for %s: got the answer %q", id, r.target, reply.Response.Body)
		}
	case <-time.After(time.Until(r.request.Deadline.Add(replySlack))):
		t.Errorf("request %d for %s: got no reply", id, r.target)
	}
}

// Retries join requests, leave, time out, are rejected and drained in a random order, before an endpoint that answers late, answers with an
// error, or closes the connection. Each request whose client waits gets one reply by its own deadline, made for its own target, and no attempt
// begins after its client has left.
func TestRandomRetriesAreAnswered(t *testing.T) {
	for seed := range int64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			playDrawnRetries(t, rand.New(rand.NewSource(seed)))
		})
	}
}

func playDrawnRetries(t *testing.T, random *rand.Rand) {
	t.Helper()
	rig := newTestAdmission(t, admission.Limits{Requests: 12, Bytes: 1 << 20, Queues: 4}, random.Intn(4) > 0)
	server := agenttest.NewScriptedServer(t, nil)
	delays := rand.New(rand.NewSource(random.Int63()))
	var mu sync.Mutex
	server.SetHandler(func(conn net.Conn, nth int) bool {
		mu.Lock()
		delay, end := time.Duration(delays.Intn(60))*time.Millisecond, delays.Intn(6)
		mu.Unlock()
		time.Sleep(delay)
		switch end {
		case 0:
			return false
		case 1:
			return fakes.Respond("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")(conn, nth)
		}
		return fakes.Respond(fakes.OKResponse(server.Requests()[nth-1].RequestLine))(conn, nth)
	})
	rig.PublishOne(server.Addr())
	script := &drawnScript{random: rand.New(rand.NewSource(random.Int63())), open: map[uint64]bool{}}
	rig.Respond(script.respond)
	const requests, drainAt = 300, 270
	drawn := map[uint64]*drawnRetry{}
	var replied sync.WaitGroup
	for id := uint64(1); id <= requests; id++ {
		drawn[id] = rig.arriveDrawn(t, random, id, &replied)
		if id == drainAt {
			rig.loop.mailbox.Put(drainStarted{time.Now().Add(replySlack)})
		}
		time.Sleep(time.Duration(random.Intn(6)) * time.Millisecond)
	}
	replied.Wait()
	agenttest.Eventually(t, "the end of all requests", func() bool {
		status := rig.status()
		return status.InProgress+status.Waiting+status.Joined == 0
	})
	rig.Loop.Flush(t.Context())
	checkEnds(t, rig, drawn)
	t.Logf("%+v", rig.status())
}

// checkEnds checks that each request has ended once, that none was answered twice, and that none arrived at the router after its client had
// left.
func checkEnds(t *testing.T, rig *testAdmission, drawn map[uint64]*drawnRetry) {
	t.Helper()
	for id, request := range drawn {
		if got := request.doneCount.Load(); got != 1 {
			t.Errorf("request %d: got %d calls of OnDone, want 1", id, got)
		}
		if request.leavesAt.IsZero() && len(request.request.Replies()) > 0 {
			t.Errorf("request %d: got a second reply", id)
		}
	}
	events, times := rig.All()
	for i, event := range events {
		arrived, ok := event.(policy.RequestArrived)
		if !ok || drawn[arrived.ID].leavesAt.IsZero() {
			continue
		}
		if late := rig.loop.clock.Time(times[i]).Sub(drawn[arrived.ID].leavesAt); late > cancelSlack {
			t.Errorf("request %d arrived at the router %v after its client had left", arrived.ID, late)
		}
	}
}

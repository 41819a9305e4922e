package upstream_test

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"switchfork/internal/agent"
	"switchfork/internal/agenttest"
	"switchfork/internal/fakes"
	"switchfork/internal/policy"
	"switchfork/internal/protocol"
)

// An attempt whose connection comes up only after the request's client has left is not sent. The connection serves the next request.
func TestAttemptDoesNotBeginAfterItsClientHasLeft(t *testing.T) {
	server := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("done")))
	r := agenttest.NewRig(t, agenttest.WaitTimeout)
	r.PublishOne(server.Addr())
	var hasLeft sync.WaitGroup
	hasLeft.Add(1)
	dialing := make(chan struct{}, 1)
	r.Pool.SetDialControl(func(string, string, syscall.RawConn) error {
		dialing <- struct{}{}
		hasLeft.Wait()
		return nil
	})
	r.Respond(func(event policy.Event) []policy.Command {
		if arrived, ok := event.(policy.RequestArrived); ok {
			return []policy.Command{policy.SendAttempt{RequestID: arrived.ID, EndpointID: protocol.EndpointID(agenttest.Host)}}
		}
		return nil
	})
	r.Loop.Admit(policy.RequestArrived{ID: 1}, agent.NewRequest(agenttest.KeyedRequest, time.Now().Add(agenttest.WaitTimeout), nil))
	<-dialing
	r.Loop.Enqueue(policy.RequestCancelled{RequestID: 1})
	r.Loop.Flush(t.Context())
	hasLeft.Done()
	results := func() []policy.AttemptResult { return agenttest.Events[policy.AttemptResult](r.Router) }
	agenttest.Eventually(t, "the end of the attempt or its request at the server", func() bool { return len(results())+len(server.Requests()) > 0 })
	if got := r.Send(t, 2, agenttest.KeyedRequest, agenttest.WaitTimeout); got.Response == nil {
		t.Errorf("got reply %+v to the next request, want a response", got)
	}
	if n := len(server.Requests()); n != 1 || results()[0].Outcome != policy.NotAttempted {
		t.Errorf("got %d requests at the server and results %+v, want only the next client's request, and nothing sent for the first", n, results())
	}
	if n := server.Requests()[0].Conn; n != 1 {
		t.Errorf("the next request came on connection %d, want that which was opened for the first", n)
	}
}

package proxy

import (
	"io"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"switchfork/internal/agenttest"
	"switchfork/internal/policy"
)

// Whatever clients do, in any order, each accepted request has one whole response or a client that disconnected, a client that stays
// gets as many responses as it sent requests, and all descriptors and request ids are released.
func TestRandomClientSequences(t *testing.T) {
	type randomClient struct {
		*testClient
		rest      string // what is left to send of the next request
		requests  int
		responses atomic.Int64
		ended     chan struct{}
	}
	rapid.Check(t, func(rt *rapid.T) {
		server := newTestServer(t, 64, true)
		var open, all []*randomClient
		disconnected := 0
		for range rapid.IntRange(1, 16).Draw(rt, "steps") {
			if len(open) < 4 && rapid.Bool().Draw(rt, "connects") {
				client := &randomClient{testClient: server.dial(t), rest: rawRequest("lookup"), ended: make(chan struct{})}
				open, all = append(open, client), append(all, client)
				go func() {
					defer close(client.ended)
					for {
						if _, err := client.readResponse(); err != nil {
							return
						}
						client.responses.Add(1)
					}
				}()
				continue
			}
			if len(open) == 0 {
				continue
			}
			i := rapid.IntRange(0, len(open)-1).Draw(rt, "which")
			switch client := open[i]; rapid.IntRange(0, 5).Draw(rt, "what") {
			case 0, 1: // some bytes of a request, or the rest of it
				if int(client.responses.Load()) < client.requests {
					continue // one request at a time
				}
				n := min(len(client.rest), rapid.SampledFrom([]int{1, 20, 1000}).Draw(rt, "bytes"))
				if _, err := io.WriteString(client, client.rest[:n]); err != nil {
					continue // retired
				}
				// Until the server has read them they cross whatever follows.
				conn := server.serverConn(t, client.testClient)
				waitForConn(t, "the bytes", conn, func() bool { return conn.state == stateReading || conn.state == stateAwaiting })
				if client.rest = client.rest[n:]; client.rest == "" {
					client.rest = rawRequest("lookup")
					client.requests++
				}
			case 2, 3: // disconnects, also with a reset
				disconnected++
				if rapid.Bool().Draw(rt, "reset") {
					_ = client.Conn.(*net.TCPConn).SetLinger(0)
				}
				_ = client.Close()
				open = slices.Delete(open, i, i+1)
			case 4:
				if server.serverConn(t, client.testClient).retire() {
					if len(client.rest) < len(rawRequest("lookup")) {
						rt.Fatal("retired with a request started")
					}
					agenttest.Eventually(t, "the responses to all its requests", func() bool { return int(client.responses.Load()) == client.requests })
					disconnected++ // without a request; what it sends from now on crosses the close
					_ = client.Close()
					open = slices.Delete(open, i, i+1)
				}
			case 5:
				server.rejectAll()
			}
		}
		// As Drain does, without the wait for late arrivals.
		server.proxy.drainDeadline = time.Now().Add(agenttest.Patience)
		server.proxy.isDraining.Store(true)
		server.proxy.listener.startDrain()
		server.proxy.listener.closeWhenEmpty()
		done := make(chan error, 1)
		go func() { <-server.proxy.listener.closed; done <- nil }()
		for _, client := range open {
			if whole := rawRequest("lookup"); len(client.rest) < len(whole) { // a started request is completed
				if _, err := io.WriteString(client, client.rest); err != nil {
					rt.Fatalf("closed within a request: %v", err)
				}
				client.requests++
			} else if client.requests == 0 {
				_ = client.Close() // connected and sent nothing
			}
		}
		for _, client := range open {
			for waiting := true; waiting; {
				server.rejectAll()
				select {
				case <-client.ended:
					waiting = false
				case <-time.After(5 * time.Millisecond):
				}
			}
			_ = client.Close()
			if int(client.responses.Load()) != client.requests {
				rt.Fatalf("a client that stayed sent %d requests and got %d responses", client.requests, client.responses.Load())
			}
		}
		for _, client := range all {
			<-client.ended
		}
		server.assertReleased(t, done)
		accepted, answered := len(agenttest.Events[policy.RequestArrived](server.Router)), 0
		for _, client := range all {
			answered += int(client.responses.Load())
		}
		if answered > accepted || answered+disconnected < accepted {
			rt.Fatalf("%d requests accepted, %d answered, %d clients disconnected", accepted, answered, disconnected)
		}
	})
}

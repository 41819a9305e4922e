package proxy

import (
	"log/slog"
	"net/http"
	"time"

	"switchfork/internal/agent"
)

// replyGuardDelay is how long after a request's deadline the event loop may still reply. The protocol counts an answer as lost half a second
// after the deadline.
const replyGuardDelay = 300 * time.Millisecond

// NoReplyMessage is the log message for a request that the event loop has not answered in time, which is a fault of the agent.
const NoReplyMessage = "request got no reply by its deadline"

// awaitReply waits for the final reply to a request that has been forwarded. It cancels the request and returns an error if the client
// disconnects. It fails the request when the drain has run out of time, and replyGuardDelay after the request's deadline.
func (p *Proxy) awaitReply(r *http.Request, request *agent.Request, cancel func()) (agent.Reply, error) {
	guard := time.NewTimer(time.Until(request.Deadline))
	defer guard.Stop()
	isPastDeadline := false
	for {
		select {
		case reply := <-request.Replies():
			return reply, nil
		case <-r.Context().Done():
			cancel()
			return agent.Reply{}, r.Context().Err()
		case <-p.drainExpired:
			cancel()
			return agent.Reply{}, nil
		case <-guard.C:
			if isPastDeadline {
				cancel()
				slog.Error(NoReplyMessage, "request", r.Header.Get(requestIDHeader), "total", p.unanswered.Add(1))
				return agent.Reply{}, nil
			}
			// The delay starts now: if the whole process has stalled, the event loop gets as much time to reply as at any deadline.
			isPastDeadline = true
			guard.Reset(replyGuardDelay)
		}
	}
}

package proxy

import (
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"switchfork/internal/admission"
	"switchfork/internal/agent"
	"switchfork/internal/policy"
	"switchfork/internal/protocol"
	"switchfork/internal/ratelog"
)

// RoundTrip hands a request to the event loop and waits for its final reply. It implements http.RoundTripper.
func (p *Proxy) RoundTrip(r *http.Request) (*http.Response, error) {
	received, err := p.receive(r)
	if errors.Is(err, errOutOfMemory) {
		return p.rejectUnread(r), nil
	}
	if err != nil {
		return errorResponse(r, err)
	}
	receivedAt := time.Now().Add(-queueDelay(r))
	defer p.openRequests.Add(-1)
	if p.exceedsOpenRequests(p.openRequests.Add(1)) {
		// The request is rejected before it reaches the router, with the reply that the router gives at its own limit. This is overload, so
		// clients should not retry soon.
		return replyResponse(agent.Reply{Rejected: true, RetryAfter: p.maxRetryAfter}, r), nil
	}
	requestID := r.Header.Get(requestIDHeader)
	if conflict := p.requestIDs.reserve(requestID); conflict != nil {
		return errorResponse(r, conflict)
	}
	memory := holdMemory(r)
	var request *agent.Request
	request = p.newRequest(r, received, receivedAt, func() {
		isSpent := request.MayHaveRun() && !p.decoder.classes[received.class].MayRepeat
		p.requestIDs.release(requestID, isSpent)
		memory.release()
	})
	request.ReserveResponse = memory.reserveResponse
	cancel := p.forward(r, received, request, receivedAt)
	defer limitWriteTime(r, request)
	reply, err := p.awaitReply(r, request, cancel)
	if err != nil {
		return nil, err
	}
	return replyResponse(reply, r), nil
}

// exceedsOpenRequests reports whether there are too many open requests. It returns false if there is an admission loop, which has a
// separate limit.
func (p *Proxy) exceedsOpenRequests(open int64) bool {
	limit := min(p.maxOpenRequests, p.budget.MaxRequests())
	if p.admission != nil || open <= int64(limit) {
		return false
	}
	ratelog.Warn("open requests", "too many open requests", "max", limit)
	return true
}

// rejectUnread rejects a request whose body has not been read, so that the response is its connection's last.
func (p *Proxy) rejectUnread(r *http.Request) *http.Response {
	if conn, ok := r.Context().Value(connKey{}).(*clientConn); ok && r.ContentLength > 0 {
		conn.endWithResponse()
	}
	return replyResponse(agent.Reply{Rejected: true, RetryAfter: p.maxRetryAfter}, r)
}

// receivedRequest is a client's request that has been read completely.
type receivedRequest struct {
	*clientRequest
	target string // path and query as the client sent them
	body   []byte
}

// receive decodes a request, reserves memory for it and reads its body. It returns errOutOfMemory if there is not enough memory.
func (p *Proxy) receive(r *http.Request) (*receivedRequest, error) {
	target, _ := r.Context().Value(targetKey{}).(string)
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	decoded, err := p.decoder.decode(r, target)
	if err != nil {
		return nil, err
	}
	if r.ContentLength <= protocol.BodyLimit {
		err = p.reserveRequest(r)
	}
	if err != nil {
		return nil, err
	}
	body, err := protocol.ReadBody(r.Body, r.ContentLength)
	if errors.Is(err, protocol.ErrBodyTooLong) {
		return nil, &requestError{status: http.StatusRequestEntityTooLarge, reason: err.Error()}
	}
	if err != nil {
		return nil, err
	}
	if conn, ok := r.Context().Value(connKey{}).(*clientConn); ok {
		conn.requestReceived()
	}
	return &receivedRequest{decoded, target, body}, nil
}

// newRequest encodes a request for endpoints and sets its deadline.
func (p *Proxy) newRequest(r *http.Request, received *receivedRequest, receivedAt time.Time, onDone func()) *agent.Request {
	for _, header := range protocol.HopHeaders {
		r.Header.Del(header)
	}
	if r.Header.Get("User-Agent") == "" {
		r.Header.Del("User-Agent")
	}
	encoded := protocol.EncodeRequest(r.Method, received.target, r.Host, r.Header, received.body)
	request := agent.NewRequest(encoded, receivedAt.Add(received.timeout), onDone)
	request.HasClientLeft = clientPresence(r)
	if p.isDraining.Load() && request.Deadline.After(p.drainDeadline) {
		request.Deadline = p.drainDeadline // the process can't answer it later
	}
	return request
}

// forward hands a request to the admission loop, or to the event loop if there is none. It returns a function that cancels the request.
func (p *Proxy) forward(r *http.Request, received *receivedRequest, request *agent.Request, receivedAt time.Time) (cancel func()) {
	event := policy.RequestArrived{
		ID:       p.lastRequestID.Add(1),
		Class:    received.class,
		Tenant:   received.tenant,
		Key:      received.key,
		Deadline: p.loop.Clock().At(request.Deadline),
		CostHint: received.costHint,
		IsRetry:  received.isRetry,
	}
	if p.admission == nil {
		p.loop.Admit(event, request)
		return func() { p.loop.Enqueue(policy.RequestCancelled{RequestID: event.ID}) }
	}
	event.ArrivedAt = p.loop.Clock().At(receivedAt)
	p.admission.mailbox.Put(requestArrival{
		arrival: admission.Arrival{
			ID:       event.ID,
			Tenant:   event.Tenant,
			Client:   p.clientID(r),
			Class:    event.Class,
			Key:      received.retryKey,
			IsRetry:  event.IsRetry,
			CostHint: event.CostHint,
			Deadline: event.Deadline,
			Bytes:    len(request.Encoded.Head) + len(received.body),
			Content:  contentFingerprint(r.Method, received.target, received.body),
			Headers:  headersFingerprint(r.Host, r.Header),
		},
		event:   event,
		request: request,
	})
	return func() { p.admission.mailbox.Put(requestCancelled{event.ID}) }
}

// clientID returns a number that identifies the client within its tenant, according to the configured ClientKey.
func (p *Proxy) clientID(r *http.Request) uint64 {
	if p.clientKey.Header != "" {
		return protocol.Hash64(r.Header.Get(p.clientKey.Header))
	}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil && !p.clientKey.Connection {
		return protocol.Hash64(host)
	}
	return protocol.Hash64(r.RemoteAddr)
}

// limitWriteTime sets the connection's write deadline to requestTimeout after the request's deadline, or after the present time if that is
// later. A client that does not read its response would otherwise hold a descriptor needlessly. The WriteTimeout of http.Server is replaced
// because it starts with the request and may end before the request's deadline.
func limitWriteTime(r *http.Request, request *agent.Request) {
	conn, ok := r.Context().Value(connKey{}).(*clientConn)
	if !ok {
		return
	}
	latest := time.Now()
	if request.Deadline.After(latest) {
		latest = request.Deadline
	}
	_ = conn.SetWriteDeadline(latest.Add(requestTimeout)) // fails only if the connection is closed
}

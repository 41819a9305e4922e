package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httputil"

	"switchfork/internal/protocol"
	"switchfork/internal/ratelog"
)

// healthPath is the path of the health endpoint.
const healthPath = "/_health"

// Keys of the values in a request's context.
type (
	connKey   struct{} // the net.Conn on which the request arrived
	targetKey struct{} // the request's path and query as the client sent them
)

// newServer makes the HTTP server that reads requests and writes responses.
func (p *Proxy) newServer() *http.Server {
	errorLog := newErrorLog()
	reverseProxy := &httputil.ReverseProxy{
		Transport:      p,
		ErrorLog:       errorLog,
		ErrorHandler:   p.handleReadError,
		Rewrite:        func(r *httputil.ProxyRequest) { r.Out.Host = r.In.Host },
		BufferPool:     &bufferPool{},
		ModifyResponse: p.closeConnIfNeeded,
	}
	return &http.Server{
		ErrorLog:       errorLog,
		WriteTimeout:   exchangeTimeout,
		MaxHeaderBytes: protocol.HeadLimit,
		ConnState:      p.listener.connStateChanged,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
		Handler: p.newHandler(reverseProxy),
		// Every request goes to the handler, OPTIONS * too.
		DisableGeneralOptionsHandler: true,
	}
}

// newHandler answers health checks, rejects requests whose end is ambiguous, and passes all others to next. A response to a request that is not in
// HTTP/1.1 closes its connection.
func (p *Proxy) newHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.isDraining.Load() || !isHTTP11(r) {
			w.Header().Set("Connection", "close")
		}
		p.logIfPipelined(r)
		switch {
		case hasTransferEncoding(r): // before all that keeps the connection open
			rejectTransferEncoding(w)
		case isHealthCheck(r):
			p.serveHealth(w)
		case !isHTTP11(r):
			rejectVersion(w, r)
		default:
			// The target is forwarded as the client sent it, even if ReverseProxy would clean it.
			next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), targetKey{}, r.RequestURI)))
		}
	})
}

// isHealthCheck reports whether a request is a health check. A request class may have the name of its path. The requests of such a class have
// ids, health checks have none.
func isHealthCheck(r *http.Request) bool {
	return r.URL.Path == healthPath && r.Header.Get(requestIDHeader) == ""
}

func (p *Proxy) serveHealth(w http.ResponseWriter) {
	if p.isDraining.Load() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n") // fails only if the client has disconnected
}

// closeConnIfNeeded makes a response announce that its connection closes. It does so during a drain, while few descriptors are left for
// endpoints, to a client whose further input is not read, and once for each client that waits for a descriptor. A close that a response
// announces is the only kind that can't coincide with the client's next request.
func (p *Proxy) closeConnIfNeeded(response *http.Response) error {
	if p.isDraining.Load() || p.budget.IsShort() || isEndingWith(response) || p.listener.takeWaitingClient() {
		response.Header.Set("Connection", "close")
	}
	return nil
}

// isEndingWith reports whether a response is its connection's last.
func isEndingWith(response *http.Response) bool {
	conn, ok := response.Request.Context().Value(connKey{}).(*clientConn)
	if !ok {
		return false
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.isEnding
}

// handleReadError is called if the client has disconnected or the body of its request could not be read.
func (p *Proxy) handleReadError(w http.ResponseWriter, r *http.Request, err error) {
	if r.Context().Err() == nil {
		ratelog.Warn("body", "reading a request body failed", "err", err)
	}
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusBadRequest)
}

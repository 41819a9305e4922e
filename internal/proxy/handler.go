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

// Keys of the values that a request's context carries.
type (
	connKey   struct{} // the net.Conn that the request came on
	targetKey struct{} // its path and query as they were sent
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
	}
}

// newHandler answers health checks, rejects requests with a Transfer-Encoding, and passes all others to next.
func (p *Proxy) newHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.isDraining.Load() {
			w.Header().Set("Connection", "close")
		}
		// A request class may have the path's name: its requests have ids.
		if r.URL.Path == healthPath && r.Header.Get(requestIDHeader) == "" {
			p.serveHealth(w)
			return
		}
		if len(r.TransferEncoding) > 0 {
			rejectTransferEncoding(w)
			return
		}
		// The target goes on as it was sent, also where ReverseProxy would clean it.
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), targetKey{}, r.RequestURI)))
	})
}

func (p *Proxy) serveHealth(w http.ResponseWriter) {
	if p.isDraining.Load() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n") // fails only where the client has gone
}

// rejectTransferEncoding answers a body without a length and closes the connection. Clients of the protocol send lengths. Where a request
// has both, net/http follows the chunks and drops the length, and what another reader takes for the rest of the body would pass as the
// next request; so nothing behind it is read.
func rejectTransferEncoding(w http.ResponseWriter) {
	invalid := &requestError{status: http.StatusLengthRequired, reason: "a body needs a Content-Length and no Transfer-Encoding"}
	w.Header().Set("Connection", "close")
	http.Error(w, invalid.reason, invalid.status)
	invalid.log()
}

// closeConnIfNeeded has a response end its connection during a drain, while descriptors for endpoints run short, and once for each client
// that waits for a descriptor. That is the one end of a connection that no request of its client can cross.
func (p *Proxy) closeConnIfNeeded(response *http.Response) error {
	if p.isDraining.Load() || p.budget.IsShort() || p.listener.takeWaitingClient() {
		response.Header.Set("Connection", "close")
	}
	return nil
}

// handleReadError is called for a client that went away, or whose body could not be read.
func (p *Proxy) handleReadError(w http.ResponseWriter, r *http.Request, err error) {
	if r.Context().Err() == nil {
		ratelog.Warn("body", "request body not read", "err", err)
	}
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusBadRequest)
}

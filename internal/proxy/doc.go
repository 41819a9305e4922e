// Package proxy is the client-facing side of the agent: an HTTP server that reads each request, hands it to the event loop and writes
// the one final reply that the event loop returns.
//
// A request passes through three parts. A clientListener accepts connections while the connection budget has descriptors. It tracks
// whether each connection carries a request, so that closing a connection never loses a request that was read. The Proxy is the
// http.RoundTripper of an httputil.ReverseProxy; it checks and decodes the request. An optional AdmissionLoop decides when the request is
// handed to the event loop.
//
// The methods of Proxy may be called by any goroutine once Serve runs. Listen and UseAdmission have to be called before Serve. The
// admission controller belongs to the goroutine that runs AdmissionLoop.Serve; other goroutines send messages to this goroutine.
package proxy

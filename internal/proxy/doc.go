// Package proxy is the agent's side towards its clients: an HTTP server that reads each request, hands it to the event loop and writes
// the one final reply that the loop gives.
//
// A request passes through three parts. A clientListener accepts connections while the connection budget allows and knows for each
// whether it carries a request, so that closing one never loses a request that was read. The Proxy checks and decodes the request, as
// the http.RoundTripper of an httputil.ReverseProxy. An optional AdmissionLoop decides when the request may go on to the event loop.
//
// The methods of Proxy may be called by any goroutine once Serve runs; Listen and UseAdmission have to be called before. The admission
// controller belongs to the goroutine that runs AdmissionLoop.Serve, and all others reach it by messages.
package proxy

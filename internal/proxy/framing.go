package proxy

import (
	"fmt"
	"net/http"
)

// checkFraming returns an error for a request whose end a client and net/http may see in different places. Bytes that the client takes for a
// part of the body would then be served as the next request. Clients of the protocol use HTTP/1.1 and send a Content-Length.
func checkFraming(r *http.Request) *requestError {
	switch {
	case len(r.TransferEncoding) > 0: // net/http reads the chunks and ignores a Content-Length
		return &requestError{status: http.StatusLengthRequired, reason: "a body needs a Content-Length and no Transfer-Encoding"}
	case !isHTTP11(r): // net/http ignores and removes a Transfer-Encoding
		return &requestError{status: http.StatusHTTPVersionNotSupported, reason: fmt.Sprintf("requests need HTTP/1.1, not %s", r.Proto)}
	}
	return nil
}

// isHTTP11 reports whether a request is in HTTP/1.1 or a later minor version.
func isHTTP11(r *http.Request) bool { return r.ProtoMajor == 1 && r.ProtoMinor >= 1 }

// rejectFraming answers a request for which checkFraming has returned an error. The response closes the connection, so that nothing that
// follows the head of the request is read as a request.
func rejectFraming(w http.ResponseWriter, invalid *requestError) {
	w.Header().Set("Connection", "close")
	http.Error(w, invalid.reason, invalid.status)
	invalid.log()
}

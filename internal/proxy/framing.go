package proxy

import (
	"fmt"
	"net/http"
)

// A client and net/http may see the end of a request in different places. Bytes that the client takes for a part of the body would then be
// served as the next request. So requests whose end is ambiguous are rejected. Clients of the protocol use HTTP/1.1 and send a Content-Length.

// hasTransferEncoding reports whether a request has a Transfer-Encoding. net/http reads its chunks and ignores a Content-Length. It is always false
// for a request that is not in HTTP/1.1, as net/http ignores and removes the header there.
func hasTransferEncoding(r *http.Request) bool { return len(r.TransferEncoding) > 0 }

// isHTTP11 reports whether a request is in HTTP/1.1 or a later minor version.
func isHTTP11(r *http.Request) bool { return r.ProtoMajor == 1 && r.ProtoMinor >= 1 }

// rejectTransferEncoding rejects a request with a Transfer-Encoding.
func rejectTransferEncoding(w http.ResponseWriter) {
	rejectFraming(w, &requestError{http.StatusLengthRequired, "a body needs a Content-Length and no Transfer-Encoding"})
}

// rejectVersion rejects a request that is not in HTTP/1.1.
func rejectVersion(w http.ResponseWriter, r *http.Request) {
	rejectFraming(w, &requestError{http.StatusHTTPVersionNotSupported, fmt.Sprintf("requests need HTTP/1.1, not %s", r.Proto)})
}

// rejectFraming answers a request whose end is ambiguous. The response closes the connection, so that nothing that follows the head of the
// request is read as a request.
func rejectFraming(w http.ResponseWriter, invalid *requestError) {
	w.Header().Set("Connection", "close")
	http.Error(w, invalid.reason, invalid.status)
	invalid.log()
}

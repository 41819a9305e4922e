package proxy

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"

	"switchfork/internal/admission"
)

// attemptHeaders are the headers that differ between the attempts of one request. The headers in protocol.HopHeaders are left out as well.
var attemptHeaders = map[string]bool{requestIDHeader: true, retryHeader: true}

// contentFingerprint returns the fingerprint of what a request asks for.
func contentFingerprint(method, target string, body []byte) (sum admission.Fingerprint) {
	hash := sha256.New()
	_, _ = fmt.Fprintf(hash, "%s %s\n", method, target) // a hash's Write never returns an error
	_, _ = hash.Write(body)
	hash.Sum(sum[:0])
	return sum
}

// headersFingerprint returns the fingerprint of the headers that are forwarded, without those that differ between attempts. An endpoint may
// answer a request with other headers, such as credentials or a language, in another way.
func headersFingerprint(host string, header http.Header) (sum admission.Fingerprint) {
	hash := sha256.New()
	_, _ = io.WriteString(hash, host+"\n") // a hash's Write never returns an error
	_ = header.WriteSubset(hash, attemptHeaders)
	hash.Sum(sum[:0])
	return sum
}

// Package agenttest holds what the tests of an agent's parts have in common: a scripted routing policy, an event loop with its endpoints
// but without clients, fake servers, and waits that end as soon as what they wait for has come.
package agenttest

import (
	"net/http"
	"testing"
	"time"

	"switchfork/internal/protocol"
)

// WaitTimeout bounds each wait of a test. It is far longer than any expected event takes, so that no test result depends on it.
const WaitTimeout = 20 * time.Second

// pollInterval is how often a wait looks at what it waits for.
const pollInterval = 2 * time.Millisecond

// Zone is the one zone of the lists that the tests publish.
const Zone = "suva"

// KeyedRequest is an encoded request with an idempotency key.
var KeyedRequest = protocol.EncodeRequest(http.MethodPost, "/posting?sid=1", "service.internal",
	http.Header{"Idempotency-Key": {"k"}}, []byte("body"))

// Eventually waits until isDone returns true, and fails the test where it does not within WaitTimeout. what names it in the failure.
func Eventually(t *testing.T, what string, isDone func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitTimeout); !isDone(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("%s did not come within %v", what, WaitTimeout)
		}
	}
}

// Package agenttest has helpers for the tests of an agent's parts: a scripted routing policy, an event loop with its endpoints but without
// clients, fake servers, and waits that end as soon as their condition holds.
package agenttest

import (
	"net/http"
	"testing"
	"time"

	"switchfork/internal/protocol"
)

// WaitTimeout bounds each wait of a test. It is far longer than any expected event takes, so that no test result depends on it.
const WaitTimeout = 20 * time.Second

// pollInterval is how often a wait checks its condition.
const pollInterval = 2 * time.Millisecond

// Zone is the one zone of the lists that the tests publish.
const Zone = "suva"

// KeyedRequest is an encoded request with an idempotency key.
var KeyedRequest = protocol.EncodeRequest(http.MethodPost, "/posting?sid=1", "service.internal",
	http.Header{"Idempotency-Key": {"k"}}, []byte("body"))

// Eventually waits until isDone returns true. It fails the test after WaitTimeout. what names the expected event in the failure message.
func Eventually(t *testing.T, what string, isDone func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitTimeout); !isDone(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s (%v)", what, WaitTimeout)
		}
	}
}

package proxy

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against one client that sends without waiting for responses and keeps the agent from reading other clients' requests: its connection
// pauses, and that of a client which rests between its requests does not.
func TestClientThatSendsWithoutAPauseIsSlowedDown(t *testing.T) {
	const requests = 2000
	server := newTestServer(t, false)
	patient := server.dial(t)
	for range requests / 10 {
		patient.send(rawRequest("nothing"))
		patient.expectResponse(http.StatusNotFound, false)
		time.Sleep(time.Millisecond)
	}
	if pauses := server.proxy.listener.pauses.Load(); pauses != 0 {
		t.Errorf("a client that rests between its requests was slowed down %d times", pauses)
	}
	hasty := server.dial(t)
	var all strings.Builder
	for range requests {
		all.WriteString(rawRequest("nothing"))
	}
	go func() { _, _ = hasty.Write([]byte(all.String())) }() // a failed write fails the test below
	for range requests {
		hasty.expectResponse(http.StatusNotFound, false)
	}
	if server.proxy.listener.pauses.Load() == 0 {
		t.Error("a client that sends without a pause was not slowed down")
	}
}

// The time in which a request waits for its reply is not busy time.
func TestBusyTimer(t *testing.T) {
	timer := busyTimer{since: time.Now().Add(-time.Second), requests: maxBusyRequests + 1}
	timer.pause()
	before := timer.elapsed()
	time.Sleep(time.Millisecond)
	if after := timer.elapsed(); before < time.Second || after != before || !timer.isLong() {
		t.Errorf("got %v after a pause and %v later, want the same, of at least 1 s", before, after)
	}
	timer.resume()
	time.Sleep(time.Millisecond)
	if timer.elapsed() <= before {
		t.Error("the timer did not go on after its pause")
	}
	timer.restart()
	if timer.isLong() {
		t.Error("a timer that was restarted is long")
	}
}

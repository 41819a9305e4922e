package agent

import (
	"net"
	"testing"
	"time"

	"switchfork/internal/fakes"
)

// What the tests take from package standin. Waits have a long limit and end when what they wait for has come: no sleep
// decides a verdict.

const patience = 20 * time.Second

// eventually waits for something that is due.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not come", what)
		}
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := fakes.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

type box = fakes.ScriptedServer

func newBox(t *testing.T, do func(c net.Conn, nth int) bool) *box {
	return fakes.NewScriptedServer(listen(t), do)
}

type streamer = fakes.StreamServer

func newStreamer(t *testing.T, sign string, every time.Duration, first func(asked string) string) *streamer {
	s := fakes.NewStreamServer(listen(t), sign, every, first)
	t.Cleanup(s.Close)
	return s
}

var (
	answers, hangUp, mute, ok = fakes.Respond, fakes.CloseUnanswered, fakes.NeverRespond, fakes.OKResponse
	host, line, bulletin      = fakes.ListEntry, fakes.ListDocument, fakes.RolloutEvent
)

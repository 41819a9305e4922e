package main

import (
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// serveAdminAnswers serves an admin socket with a handler for each resource, and returns the path of the socket.
func serveAdminAnswers(t *testing.T, answers map[string]http.HandlerFunc) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "admin.sock")
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "unix", path)
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	for resource, answer := range answers {
		mux.HandleFunc(resource, answer)
	}
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }() // ends with the test
	t.Cleanup(func() { _ = server.Close() })   // closes the listener, too
	return path
}

func answerText(status int, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(text)) // if the write fails, the client fails the test
	}
}

// Operators' scripts parse the output of the commands leader and members list.
func TestLeaderAndMembersOutput(t *testing.T) {
	for report, want := range map[string]string{
		`{"me":1,"leads":true,"owner":1,"term":513,"left_ms":400,"unresolved":true,"waits_ms":5,"abstains_ms":6,"newest":"513.2 build 7 stage 1 hold","members":[0,1,2]}`: "agent 1: leads, term 513, lease left 400 ms\nnewest decision: 513.2 build 7 stage 1 hold\n" +
			"unresolved: true; an earlier leader's votes may count for 5 ms; abstains for 6 ms\nmembers: [0 1 2]\n",
		`{"me":1,"owner":2,"newest":"513.2 build 7 stage 1 back","members":[1,2]}`: "agent 1: agent 2 leads\nnewest decision: 513.2 build 7 stage 1 rollback\n" +
			"unresolved: false; an earlier leader's votes may count for 0 ms; abstains for 0 ms\nmembers: [1 2]\n",
		`{"me":1,"owner":2,"newest":"none","members":[1,2]}`: "agent 1: agent 2 leads\nnewest decision: none\n" +
			"unresolved: false; an earlier leader's votes may count for 0 ms; abstains for 0 ms\nmembers: [1 2]\n",
		`{"me":0,"owner":-1,"newest":"none"}`: "agent 0: knows of nobody who leads\nnewest decision: none\n" +
			"unresolved: false; an earlier leader's votes may count for 0 ms; abstains for 0 ms\nmembers: []\n",
	} {
		admin := serveAdminAnswers(t, map[string]http.HandlerFunc{"GET /lead": answerText(http.StatusOK, report)})
		if out, err := run(t, "leader", "--admin", admin); err != nil || out != want {
			t.Errorf("leader: got output %q, error %v, want %q", out, err, want)
		}
	}
	admin := serveAdminAnswers(t, map[string]http.HandlerFunc{"GET /lead": answerText(http.StatusOK, `{"members":[0,5]}`)})
	if out, err := run(t, "members", "list", "--admin", admin); err != nil || out != "0\n5\n" {
		t.Errorf("members list: got output %q, error %v, want the members 0 and 5, one per line", out, err)
	}
	admin = serveAdminAnswers(t, map[string]http.HandlerFunc{"GET /lead": answerText(http.StatusServiceUnavailable, "")})
	for _, args := range [][]string{{"leader"}, {"members", "list"}} {
		if out, err := run(t, append(args, "--admin", admin)...); err == nil || err.Error() != "the agent answers 503 Service Unavailable" || out != "" {
			t.Errorf("%q: got output %q, error %v, want the agent's status as the error", args, out, err)
		}
	}
}

// The old command lead prints the same as leader, and a warning with its current name on standard error.
func TestOldLeaderCommand(t *testing.T) {
	admin := serveAdminAnswers(t, map[string]http.HandlerFunc{"GET /lead": answerText(http.StatusOK, `{"me":1,"owner":2,"newest":"none","members":[1,2]}`)})
	want, warnings, err := runWithWarnings(t, "leader", "--admin", admin)
	if err != nil || warnings != "" {
		t.Fatalf("leader: got error %v, warning %q, want none", err, warnings)
	}
	out, warnings, err := runWithWarnings(t, "lead", "--admin", admin)
	if err != nil || out != want || warnings != "switchfork: the command lead is called leader now\n" {
		t.Errorf("lead: got error %v, output %q, warning %q, want the output %q", err, out, warnings, want)
	}
}

// A member change is sent, with the member's index, to the admin resource for adding or removing. If the queried agent refuses
// the change, the command fails with the agent's answer as the error.
func TestMemberChangeCommands(t *testing.T) {
	var asked []string
	record := func(change string) http.HandlerFunc {
		return func(_ http.ResponseWriter, r *http.Request) { asked = append(asked, change+" "+r.FormValue("agent")) }
	}
	admin := serveAdminAnswers(t, map[string]http.HandlerFunc{"POST /members/add": record("add"), "POST /members/remove": record("remove")})
	for _, change := range []string{"add", "remove"} {
		if out, err := run(t, "members", change, "3", "--admin", admin); err != nil || out != "" {
			t.Errorf("%s: got output %q, error %v, want none", change, out, err)
		}
		for _, agent := range []string{"x", "64"} {
			var usage usageError
			want := "agent is \"" + agent + "\", expected a number from 0 to 63"
			if _, err := run(t, "members", change, agent, "--admin", admin); !errors.As(err, &usage) || err.Error() != want {
				t.Errorf("%s %s: got error %v, want the usage error %s", change, agent, err, want)
			}
		}
	}
	if got := strings.Join(asked, ", "); got != "add 3, remove 3" {
		t.Errorf("got the changes %s, want add 3 and remove 3", got)
	}
	admin = serveAdminAnswers(t, map[string]http.HandlerFunc{"POST /members/add": answerText(http.StatusConflict, "refused\n")})
	if _, err := run(t, "members", "add", "3", "--admin", admin); err == nil || err.Error() != "refused\n" {
		t.Errorf("refused change: got error %q, want the agent's answer", err)
	}
}

// Operators' scripts parse the output of the state commands. The state folder of this test was written by an earlier version.
func TestStateOutput(t *testing.T) {
	const folder = "../../internal/cluster/storage/testdata"
	const shown = "agent 4 of group feedc0de12345678\npromised 2818, accepted 2561 of agent 2, given up 2305\n" +
		"newest decision: term 2561, 7: build 42 stage 3 rollback\nmembers 10111, stamped 2049.4\n"
	if out, err := run(t, "state", "show", folder); err != nil || out != shown {
		t.Errorf("state show: got output %q, error %v, want the stored state of agent 4", out, err)
	}
	if out, err := run(t, "state", "verify", folder); err != nil || out != "sound\n" {
		t.Errorf("state verify: got output %q, error %v, want sound", out, err)
	}
	for _, command := range []string{"show", "verify"} {
		if _, err := run(t, "state", command, t.TempDir()); !errors.Is(err, os.ErrNotExist) {
			t.Errorf("state %s of an empty folder: got error %v, want os.ErrNotExist", command, err)
		}
	}
}

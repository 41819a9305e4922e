package coordinator_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"path/filepath"
	"testing"

	"switchfork/internal/cluster/coordinator"
	"switchfork/internal/cluster/election"
	"switchfork/internal/policy"
)

type discardTransport struct{}

func (discardTransport) Send(int, []byte) {}

// startCoordinator runs replica 0 of three, without a store. No leader is ever elected, because the replica's messages are discarded.
func startCoordinator(ctx context.Context) *coordinator.Coordinator {
	c := coordinator.New(coordinator.Config{
		Members:  election.InitialMembers(3),
		Settings: election.Settings{Lease: 60e6},
	}, discardTransport{}, nil, coordinator.Callbacks{UpdateRollout: func(policy.RolloutUpdate) {}})
	go c.Serve(ctx)
	return c
}

// The JSON keys of the status and the texts of refusals stay as they are.
func TestAdminAnswers(t *testing.T) {
	path := filepath.Join(t.TempDir(), "admin.sock")
	if err := startCoordinator(t.Context()).ServeAdmin(t.Context(), path); err != nil {
		t.Fatal(err)
	}
	report, err := coordinator.QueryStatus(path)
	if err != nil {
		t.Fatal(err)
	}
	if report.AbstainsForMS <= 0 {
		t.Errorf("status without stored state: got %+v, want AbstainsForMS above 0", report)
	}
	report.AbstainsForMS = 1
	text, err := json.Marshal(report)
	const want = `{"me":0,"leads":false,"owner":-1,"term":0,"left_ms":0,"unresolved":false,"waits_ms":0,"abstains_ms":1,"newest":"none","members":[0,1,2]}`
	if err != nil || string(text) != want {
		t.Errorf("got status %s, error %v, want %s", text, err, want)
	}
	for agent, reason := range map[int]string{
		1:  coordinator.ErrNoStateDir.Error() + "\n",
		64: "agent is \"64\", expected a number from 0 to 63\n",
		-1: "agent is \"-1\", expected a number from 0 to 63\n",
	} {
		for _, kind := range []coordinator.MemberChangeKind{"add", "remove"} {
			var refused *coordinator.MemberChangeError
			err := coordinator.RequestMemberChange(path, coordinator.MemberChange{Kind: kind, Agent: agent})
			if !errors.As(err, &refused) || refused.Reason != reason {
				t.Errorf("%s agent %d: got error %v, want %q", kind, agent, err, reason)
			}
		}
	}
}

// A socket that no process serves is replaced. A socket that is served is left alone.
func TestAdminAddressInUse(t *testing.T) {
	path := filepath.Join(t.TempDir(), "admin.sock")
	abandoned, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	abandoned.SetUnlinkOnClose(false)
	if err = abandoned.Close(); err != nil {
		t.Fatal(err)
	}
	c := startCoordinator(t.Context())
	if err = c.ServeAdmin(t.Context(), path); err != nil {
		t.Fatalf("serving at an abandoned socket: %v", err)
	}
	var inUse *coordinator.AdminAddressInUseError
	if err = c.ServeAdmin(t.Context(), path); !errors.As(err, &inUse) || inUse.Path != path {
		t.Errorf("serving at a socket in use: got %v, want an AdminAddressInUseError with its path", err)
	}
	if _, err = coordinator.QueryStatus(path); err != nil {
		t.Errorf("the first server does not answer after the second was refused: %v", err)
	}
}

package coordinator

import (
	"errors"
	"slices"
	"testing"
	"time"

	"switchfork/internal/cluster/election"
	"switchfork/internal/cluster/transport"
	"switchfork/internal/policy"
)

const testGroup = 7

// fakeStore records the saved states, or fails with err if that is set.
type fakeStore struct {
	err   error
	saved []election.DurableState
}

func (s *fakeStore) Save(state election.DurableState) error {
	if s.err == nil {
		s.saved = append(s.saved, state)
	}
	return s.err
}

func (s *fakeStore) Close() error { return nil }

// fakeTransport records the receivers of the messages.
type fakeTransport struct{ receivers []int }

func (f *fakeTransport) Send(to int, _ []byte) { f.receivers = append(f.receivers, to) }

// newTestCoordinator returns a coordinator with replica 0 of three. Its Serve is not called; the test handles its messages.
func newTestCoordinator(store Store, callbacks Callbacks) (*Coordinator, *fakeTransport) {
	sent := &fakeTransport{}
	config := Config{Members: election.InitialMembers(3), Settings: election.Settings{Lease: 60e6}, Group: testGroup}
	return New(config, sent, store, callbacks), sent
}

// A message that relies on a state is sent only if the state was saved, and after a failed save nothing is saved again.
func TestFailedSaveHoldsMessagesBack(t *testing.T) {
	store := &fakeStore{}
	c, sent := newTestCoordinator(store, Callbacks{})
	commands := func(to int) []election.Command {
		return []election.Command{
			election.SendMessage{To: to, Message: election.Message{Kind: election.Nack}},
			election.Persist{DurableState: election.DurableState{Promised: uint64(to)}},
			election.SendMessage{To: to + 1, Message: election.Message{Kind: election.Promise}},
		}
	}
	c.execute(commands(1))
	if len(store.saved) != 1 || !slices.Equal(sent.receivers, []int{1, 2}) {
		t.Fatalf("saved %v, sent to %v, want one state and receivers [1 2]", store.saved, sent.receivers)
	}
	store.err = errors.New("disk full")
	c.execute(commands(3))
	if !slices.Equal(sent.receivers, []int{1, 2, 3}) {
		t.Errorf("sent to %v after a failed save, want [1 2 3]", sent.receivers)
	}
	if status := c.replica.Status(c.clock.now()); status.AbstainsFor < 1<<61 {
		t.Errorf("replica participates after a failed save: %+v", status)
	}
	store.err = nil
	c.execute(commands(5))
	if len(store.saved) != 1 || c.metrics.stateSyncs.Get() != 1 {
		t.Errorf("saved %v, counted %d syncs, want one of each", store.saved, c.metrics.stateSyncs.Get())
	}
}

// After a failed save no vote is cast, and no message that relies on a state is sent. The agent's own stop of a build still takes effect.
func TestFailedStoreCastsNothing(t *testing.T) {
	var casts int
	var updates []policy.RolloutUpdate
	c, sent := newTestCoordinator(&fakeStore{err: errors.New("disk full")}, Callbacks{
		CastVote:      func(policy.Vote, time.Time, func(bool)) { casts++ },
		UpdateRollout: func(update policy.RolloutUpdate) { updates = append(updates, update) },
	})
	decision := election.Decision{Build: 4, Stage: 1, Verdict: election.Rollback}
	for range 2 {
		c.execute([]election.Command{
			election.Persist{},
			election.SendMessage{To: 1, Message: election.Message{Kind: election.Promise}},
			election.CastVote{},
			election.SelfStop{Decision: decision, Stop: true},
		})
	}
	c.execute([]election.Command{election.CastVote{}})
	if casts != 0 || len(sent.receivers) != 0 || len(updates) != 2 || updates[0].Cap != 0 {
		t.Errorf("%d votes cast, sent to %v, policy got %+v, want no vote, no message and 2 updates with cap 0", casts, sent.receivers, updates)
	}
}

// An agent's own stop of a build sets the build's traffic cap to zero, and does so again after each update of that stage. When the stop
// ends, the policy is given the last update again.
func TestSelfStopCapsTraffic(t *testing.T) {
	var updates []policy.RolloutUpdate
	c, _ := newTestCoordinator(nil, Callbacks{UpdateRollout: func(u policy.RolloutUpdate) { updates = append(updates, u) }})
	update := policy.RolloutUpdate{Build: 4, Stage: 1, Phase: policy.Evaluating, IsVoteReply: true, Cap: 0.5, Age: 9}
	stopped := policy.RolloutUpdate{Build: 4, Stage: 1, Phase: policy.Evaluating, Age: 9}
	decision := election.Decision{Build: 4, Stage: 1, Verdict: election.Rollback}
	rolloutUpdate{update}.handle(c)
	if len(updates) != 0 {
		t.Errorf("before the stop the policy got %+v, want no updates", updates)
	}
	c.execute([]election.Command{election.SelfStop{Decision: decision, Stop: true}})
	rolloutUpdate{update}.handle(c)
	other := update
	other.Stage = 2
	rolloutUpdate{other}.handle(c)
	rolloutUpdate{update}.handle(c)
	c.execute([]election.Command{election.SelfStop{Decision: decision}})
	restored := update
	restored.IsVoteReply = false
	if want := []policy.RolloutUpdate{stopped, stopped, stopped, restored}; !slices.Equal(updates, want) {
		t.Errorf("the policy got %+v, want %+v", updates, want)
	}
	rolloutUpdate{update}.handle(c)
	if len(updates) != 4 {
		t.Errorf("after the stop the policy got %+v, want no updates", updates[4:])
	}
}

// A vote is cast with its deadline in wall-clock time, and its resolution arrives in the mailbox.
func TestVoteIsCastAndResolved(t *testing.T) {
	record := election.Record{Term: 256, Index: 1, Decision: election.Decision{Build: 4, Stage: 1, Verdict: election.Hold}}
	var cast []policy.Vote
	var deadline time.Time
	c, _ := newTestCoordinator(nil, Callbacks{CastVote: func(vote policy.Vote, writeBefore time.Time, resolved func(bool)) {
		cast, deadline = append(cast, vote), writeBefore
		resolved(len(cast) == 1)
	}})
	c.execute([]election.Command{
		election.CastVote{Record: record, WriteBefore: 2e6 + 1},
		election.CastVote{Record: record, WriteBefore: 2e6 + 1},
	})
	want := policy.Vote{Build: 4, Stage: 1, Verdict: policy.Hold}
	if !slices.Equal(cast, []policy.Vote{want, want}) || !deadline.Equal(c.clock.startedAt.Add(2*time.Second)) {
		t.Errorf("cast %+v with a deadline %v after the start, want two votes for hold and 2s", cast, deadline.Sub(c.clock.startedAt))
	}
	if written, refused := c.metrics.votesCast.Get(), c.metrics.votesRefused.Get(); written != 1 || refused != 1 {
		t.Errorf("counted %d votes written, %d refused, want 1 and 1", written, refused)
	}
	resolutions := []message{voteResolved{record}, voteResolved{record}}
	if resolved := c.mailbox.Take(nil); !slices.Equal(resolved, resolutions) {
		t.Errorf("mailbox holds %+v, want two resolved votes", resolved)
	}
}

// Frames that can't be used, or for which the queue has no room, are counted as dropped.
func TestDroppedFrames(t *testing.T) {
	c, _ := newTestCoordinator(nil, Callbacks{})
	message := election.Message{Kind: election.Nack}
	for _, frame := range [][]byte{{1, 2, 3}, transport.Encode(testGroup+1, 1, message), transport.Encode(testGroup, 0, message)} {
		c.receive(frame)
	}
	if dropped, received := c.metrics.messagesDropped.Get(), c.metrics.messagesReceived.Get(); dropped != 3 || received != 0 {
		t.Errorf("%d dropped, %d received, want 3 and 0", dropped, received)
	}
	c.receive(transport.Encode(testGroup, 1, message))
	for range frameQueueCapacity + 2 {
		c.Receive(nil)
	}
	if dropped, received := c.metrics.messagesDropped.Get(), c.metrics.messagesReceived.Get(); dropped != 5 || received != 1 {
		t.Errorf("%d dropped, %d received, want 5 and 1", dropped, received)
	}
}

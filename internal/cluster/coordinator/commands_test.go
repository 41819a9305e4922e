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

// fakeStore fails on request, and keeps what was saved.
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

// fakeTransport keeps to whom messages were sent.
type fakeTransport struct{ receivers []int }

func (f *fakeTransport) Send(to int, _ []byte) { f.receivers = append(f.receivers, to) }

// newTestCoordinator makes replica 0 of three, which is not served: its messages are handled by the test.
func newTestCoordinator(store Store, callbacks Callbacks) (*Coordinator, *fakeTransport) {
	sent := &fakeTransport{}
	config := Config{Members: election.InitialMembers(3), Settings: election.Settings{Lease: 60e6}, Group: testGroup}
	return New(config, sent, store, callbacks), sent
}

// Nothing that relies on a state is sent unless the state was saved, and after a failed save nothing is saved again.
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
		t.Fatalf("saved %v, sent to %v", store.saved, sent.receivers)
	}
	store.err = errors.New("disk full")
	c.execute(commands(3))
	if !slices.Equal(sent.receivers, []int{1, 2, 3}) {
		t.Errorf("sent to %v after a save that failed", sent.receivers)
	}
	if status := c.replica.Status(c.clock.now()); status.AbstainsFor < 1<<61 {
		t.Errorf("the replica still takes part: %+v", status)
	}
	store.err = nil
	c.execute(commands(5))
	if len(store.saved) != 1 || c.metrics.stateSyncs.Get() != 1 {
		t.Errorf("saved %v, counted %d", store.saved, c.metrics.stateSyncs.Get())
	}
}

// After a failed save no vote is cast, and nothing that relies on a state is sent; the agent's own stop of a build still takes effect.
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
		t.Errorf("%d votes cast, sent to %v, updates %+v", casts, sent.receivers, updates)
	}
}

// An agent's own stop sets the build's traffic cap to zero, again after each update of that stage, and its end restores the update.
func TestSelfStopCapsTraffic(t *testing.T) {
	var updates []policy.RolloutUpdate
	c, _ := newTestCoordinator(nil, Callbacks{UpdateRollout: func(u policy.RolloutUpdate) { updates = append(updates, u) }})
	update := policy.RolloutUpdate{Build: 4, Stage: 1, Phase: policy.Evaluating, IsVoteReply: true, Cap: 0.5, Age: 9}
	stopped := policy.RolloutUpdate{Build: 4, Stage: 1, Phase: policy.Evaluating, Age: 9}
	decision := election.Decision{Build: 4, Stage: 1, Verdict: election.Rollback}
	rolloutUpdate{update}.handle(c)
	if len(updates) != 0 {
		t.Errorf("before the stop the policy is told %+v", updates)
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
		t.Errorf("the policy is told %+v, want %+v", updates, want)
	}
	rolloutUpdate{update}.handle(c)
	if len(updates) != 4 {
		t.Errorf("after the stop the policy is told %+v", updates[4:])
	}
}

// A vote is cast with its deadline in wall-clock time, and its end comes back through the mailbox.
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
		t.Errorf("cast %+v before %v after the start", cast, deadline.Sub(c.clock.startedAt))
	}
	if written, refused := c.metrics.votesCast.Get(), c.metrics.votesRefused.Get(); written != 1 || refused != 1 {
		t.Errorf("counted %d written, %d refused", written, refused)
	}
	resolutions := []message{voteResolved{record}, voteResolved{record}}
	if resolved := c.mailbox.Take(nil); !slices.Equal(resolved, resolutions) {
		t.Errorf("the mailbox holds %+v", resolved)
	}
}

// Frames that can't be used, or find no room, are counted as dropped.
func TestDroppedFrames(t *testing.T) {
	c, _ := newTestCoordinator(nil, Callbacks{})
	message := election.Message{Kind: election.Nack}
	for _, frame := range [][]byte{{1, 2, 3}, transport.Encode(testGroup+1, 1, message), transport.Encode(testGroup, 0, message)} {
		c.receive(frame)
	}
	if dropped, received := c.metrics.messagesDropped.Get(), c.metrics.messagesReceived.Get(); dropped != 3 || received != 0 {
		t.Errorf("%d dropped, %d received", dropped, received)
	}
	c.receive(transport.Encode(testGroup, 1, message))
	for range frameQueueCapacity + 2 {
		c.Receive(nil)
	}
	if dropped, received := c.metrics.messagesDropped.Get(), c.metrics.messagesReceived.Get(); dropped != 5 || received != 1 {
		t.Errorf("%d dropped, %d received", dropped, received)
	}
}

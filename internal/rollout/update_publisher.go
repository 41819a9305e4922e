package rollout

import (
	"sync"

	"switchfork/internal/policy"
)

// updatePublisher hands updates of the stream and replies to votes to the event loop. It may be used by several goroutines at once.
//
// The rollout's state comes in replies and on the stream, over connections of their own: a reply that the controller wrote before it
// rolled a build back may be read after the update of that rollback, and would have the build evaluated again. A reply therefore does not
// change a state that was published after its call began; if the reply is the newer of the two, the stream brings what it says.
type updatePublisher struct {
	updateRollout func(policy.RolloutUpdate)
	observer      func(policy.RolloutUpdate) // nil: none

	mu     sync.Mutex
	count  int                  // of the states published so far
	latest policy.RolloutUpdate // the last of them
}

// publish hands on an update of the stream.
func (p *updatePublisher) publish(update policy.RolloutUpdate) {
	p.mu.Lock()
	p.count++
	p.latest = update
	p.updateRollout(update)
	p.mu.Unlock()
	p.notifyObserver(update)
}

// published returns how many states have been published so far.
func (p *updatePublisher) published() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count
}

// publishReply hands on the reply to a vote whose call began when countAtStart states had been published. It returns the reply as it was
// handed on, which is not given to the observer.
func (p *updatePublisher) publishReply(reply policy.RolloutUpdate, countAtStart int) policy.RolloutUpdate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if reply.Outcome == policy.OK {
		if p.count > countAtStart {
			latest := p.latest
			latest.IsVoteReply, latest.Outcome = reply.IsVoteReply, reply.Outcome
			reply = latest
		}
		p.count++
		p.latest = reply
	}
	p.updateRollout(reply)
	return reply
}

func (p *updatePublisher) notifyObserver(update policy.RolloutUpdate) {
	if p.observer != nil {
		p.observer(update)
	}
}

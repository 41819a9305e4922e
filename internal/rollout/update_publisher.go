package rollout

import (
	"sync"

	"switchfork/internal/policy"
)

// updatePublisher passes updates of the stream and replies to votes to the event loop. It is safe for concurrent use.
//
// Both replies and the stream report the state of the rollout, on separate connections. A reply that the controller wrote before it rolled
// a build back may be read after the stream's update about that rollback. If the reply were published unchanged, the build would be
// evaluated again. A reply therefore does not change a state that was published after the vote's call began. If the reply is in fact newer
// than that state, the stream delivers the reply's state later.
type updatePublisher struct {
	updateRollout func(policy.RolloutUpdate)
	observer      func(policy.RolloutUpdate) // may be nil

	mu     sync.Mutex
	count  int                  // number of states published so far
	latest policy.RolloutUpdate // the last published state
}

// publish passes an update of the stream to the event loop and the observer.
func (p *updatePublisher) publish(update policy.RolloutUpdate) {
	p.mu.Lock()
	p.count++
	p.latest = update
	p.updateRollout(update)
	p.mu.Unlock()
	p.notifyObserver(update)
}

// publishedCount returns the number of states published so far.
func (p *updatePublisher) publishedCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count
}

// publishReply passes the reply to a vote to the event loop. countAtStart is the number of states that had been published when the vote's
// call began. publishReply returns the update that was passed on, which holds the latest state if a state was published since the call
// began. The observer is not notified.
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

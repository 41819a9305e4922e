package policy

const (
	pollRetryDelay   = 400 * millisecond // delay after a first failure; it doubles with each failure in a row
	maxPollDoublings = 3
)

// endpointPoller decides when to request the endpoint list if discovery has to be polled: at the start, and again after each
// failed call, with exponential backoff and jitter. The router passes it endpoint updates and ticks.
type endpointPoller struct {
	messageQueue
	*sharedState
	isEnabled     bool
	pollAt        Micros // time of the next call; -1 while a call is in progress or the watch is open
	failuresInRow int
}

func (p *endpointPoller) receive(msg message) {
	switch msg := msg.(type) {
	case EndpointUpdate:
		if msg.Failed {
			p.scheduleRetry()
		} else {
			p.failuresInRow = 0
		}
	case tick:
		p.pollIfDue()
	}
}

func (p *endpointPoller) pollIfDue() {
	if p.isEnabled && p.pollAt >= 0 && p.now >= p.pollAt {
		p.pollAt = -1
		p.emit(WatchEndpoints{})
	}
}

func (p *endpointPoller) scheduleRetry() {
	delay := pollRetryDelay << min(p.failuresInRow, maxPollDoublings)
	p.failuresInRow++
	p.pollAt = p.now + delay + p.randomBelow(delay)
}

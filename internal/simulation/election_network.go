package simulation

import "math/rand"

const (
	// defaultDelay bounds how long a message takes without faults, and how long an agent takes to write a vote.
	defaultDelay = 2 * ms
	// duplicateDivisor divides the loss rate. The quotient is the rate at which messages are duplicated.
	duplicateDivisor = 4
)

// electionNetwork models the network between agents. It loses, duplicates and delays messages, and may be partitioned.
type electionNetwork struct {
	timeline     *timeline
	random       *rand.Rand
	messageDelay int64 // added to the delay of each message, varied by up to a third; in microseconds

	isCut    [][]bool // whether a connection is cut, by sender and receiver
	lossRate float64
	maxDelay int64 // bounds the random delay of a message
}

func newElectionNetwork(t *timeline, random *rand.Rand, agents int, messageDelay int64) *electionNetwork {
	n := &electionNetwork{
		timeline:     t,
		random:       random,
		messageDelay: messageDelay,
		isCut:        make([][]bool, agents),
		maxDelay:     defaultDelay,
	}
	for from := range n.isCut {
		n.isCut[from] = make([]bool, agents)
	}
	return n
}

// send calls deliver after a delay. The message may be duplicated, which calls deliver twice, or lost.
func (n *electionNetwork) send(from, to int, deliver func()) {
	copies := 1
	if n.random.Float64() < n.lossRate/duplicateDivisor {
		copies = 2
	}
	for range copies {
		isLost := n.random.Float64() < n.lossRate
		if isLost || n.isCut[from][to] {
			continue
		}
		n.timeline.schedule(n.timeline.now+n.drawDelay(), deliver)
	}
}

func (n *electionNetwork) drawDelay() int64 {
	delay := 1 + n.random.Int63n(n.maxDelay)
	if n.messageDelay > 0 {
		delay += n.messageDelay*2/3 + n.random.Int63n(n.messageDelay*2/3)
	}
	return delay
}

// loseMessages loses a random fraction of the messages for span.
func (n *electionNetwork) loseMessages(span int64) {
	n.lossRate = n.random.Float64() * maxLossRate
	n.timeline.schedule(n.timeline.now+span, func() { n.lossRate = 0 })
}

// delayMessages draws a new bound for the delay of messages, which applies for span.
func (n *electionNetwork) delayMessages(span int64) {
	n.maxDelay = 1 + n.random.Int63n(maxFaultDelay)
	n.timeline.schedule(n.timeline.now+span, func() { n.maxDelay = defaultDelay })
}

// partition cuts the connections for which isApart returns true, for span. The end of any partition heals all connections.
func (n *electionNetwork) partition(span int64, isApart func(from, to int) bool) {
	for from := range n.isCut {
		for to := range n.isCut[from] {
			if isApart(from, to) {
				n.isCut[from][to] = true
			}
		}
	}
	n.timeline.schedule(n.timeline.now+span, func() {
		for from := range n.isCut {
			clear(n.isCut[from])
		}
	})
}

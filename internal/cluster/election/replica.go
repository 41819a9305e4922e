package election

// Replica runs the protocol for one replica. It begins and ends each call, and passes events on to leaderElection, which decides
// who leads, to voteCaster, which decides on the votes, and to selfStop, which decides whether this replica's agent stops its own
// requests to a build. It is not safe for concurrent use.
type Replica struct {
	out           outbox
	election      leaderElection
	votes         voteCaster
	selfStop      selfStop
	probe         controllerProbe
	lastPersisted DurableState
}

// New returns a replica with the given configuration.
func New(config Config) *Replica {
	r := &Replica{
		out:   outbox{self: config.ID},
		votes: newVoteCaster(config),
	}
	r.election = newLeaderElection(config, &r.votes, &r.out)
	r.lastPersisted = r.durableState()
	return r
}

func (r *Replica) durableState() DurableState {
	accepted := &r.election.acceptor
	return DurableState{
		Promised:    accepted.highestPromised,
		Accepted:    accepted.highestAccepted,
		Released:    accepted.highestReleased,
		LeaseHolder: int32(accepted.leaseHolder),
		Newest:      r.votes.log.newest,
		Members:     r.election.membership.current,
	}
}

// IsLeader reports whether this replica may cast votes now.
func (r *Replica) IsLeader(now Micros) bool { return r.election.lease.isValid(now) }

// Status returns the state of the replica at now.
func (r *Replica) Status(now Micros) Status {
	s := Status{
		IsLeader:          r.IsLeader(now),
		LeaseRemaining:    r.election.lease.remaining(now),
		Term:              r.election.lease.currentTerm(),
		Newest:            r.votes.log.newest,
		HasUnresolvedVote: r.votes.hasUnresolvedVote(),
		LeaseHolder:       noReplica,
		Members:           r.election.membership.current,
		AbstainsFor:       r.election.acceptor.abstainsAtLeastFor(now),
	}
	if s.IsLeader || r.election.acceptor.isLeaseInForce(now) {
		s.LeaseHolder = r.election.acceptor.leaseHolder
	}
	if s.IsLeader {
		s.EarlierVotesExpireIn = r.votes.history.earlierVotesExpireIn(now)
	}
	return s
}

// StopParticipating withdraws the replica after its stable storage has failed. From then on, the replica promises and accepts
// nothing. It also abandons its own ballot: otherwise an acceptance still in transit could make it the leader, and it would cast
// votes whose records it does not store.
func (r *Replica) StopParticipating(now Micros) {
	r.beginCall(now)
	r.election.withdraw()
	r.votes.log.discardPending()
}

// UpdateRollout sets the newest build, its stage, and whether it is under evaluation.
func (r *Replica) UpdateRollout(now Micros, build, stage int32, isActive bool) []Command {
	r.beginCall(now)
	r.votes.updateRollout(rolloutPosition{build: build, stage: stage, isActive: isActive})
	return r.runDue()
}

// Recommend sets the recommendation of this replica's release analyzer, and sends it to the other members.
func (r *Replica) Recommend(now Micros, recommended Decision) []Command {
	r.beginCall(now)
	r.votes.recommendations.put(r.election.id, recommended, now)
	r.out.broadcast(r.election.membership.current, Message{Kind: Recommend, Recommendation: recommended})
	return r.runDue()
}

// ResolveVote records that the rollout controller has answered the vote of a record: the vote took effect, or never will.
func (r *Replica) ResolveVote(now Micros, record Record) []Command {
	r.beginCall(now)
	r.votes.history.resolve(record, now)
	return r.runDue()
}

// ControllerAnswered records that the rollout controller has answered a call of this replica that began at begunAt.
func (r *Replica) ControllerAnswered(now, begunAt Micros) []Command {
	r.beginCall(now)
	r.votes.history.observeAnswer(r.election.now, begunAt)
	r.election.acceptor.observeAnswer(r.election.now, begunAt)
	return r.runDue()
}

// Tick runs the steps that are due. It must be called at the time that NextTick returned, or later.
func (r *Replica) Tick(now Micros) []Command {
	r.beginCall(now)
	return r.runDue()
}

// NextTick returns the time at which to call Tick, unless another method is called before then.
func (r *Replica) NextTick() Micros {
	return r.election.now + max(1, r.election.settings.retryInterval())
}

// Receive handles a message from another replica.
func (r *Replica) Receive(now Micros, from int, m Message) []Command {
	r.beginCall(now)
	if from >= 0 && from < MaxReplicas && from != r.election.id {
		r.election.handle(from, m)
	}
	return r.runDue()
}

// ChangeMembers puts the members of mask in force. They must differ from the current members by one replica. Only the leader can
// change the members, and only once a quorum knows the previous change.
func (r *Replica) ChangeMembers(now Micros, mask uint64) ([]Command, error) {
	r.beginCall(now)
	if !r.IsLeader(now) {
		return nil, ErrNotLeader
	}
	if err := r.election.changeMembers(mask); err != nil {
		return nil, err
	}
	return r.runDue(), nil
}

// Leave gives up the leadership permanently. This replica casts no more votes and never campaigns again, but still answers other
// replicas. The message that releases its lease also gives the next member this replica's promise. The other members send the
// next member their promises as soon as they receive the release message.
func (r *Replica) Leave(now Micros) []Command {
	r.beginCall(now)
	r.election.leave(now)
	return r.endCall()
}

// beginCall starts a call: it sets the time, and drops the commands of the previous call.
func (r *Replica) beginCall(now Micros) {
	r.election.setTime(now)
	r.out.reset()
}

// runDue runs the steps that are due at the current time, and ends the call.
func (r *Replica) runDue() []Command {
	now := r.election.now
	if r.election.lease.expire(now) {
		r.votes.log.discardPending()
	}
	if r.election.shouldCampaign() {
		r.election.campaign()
	}
	if r.IsLeader(now) {
		r.election.commitMembers()
		r.votes.runDue(now, r.leadership(), &r.out)
	}
	if r.needsAnswer(now) && r.probe.isDue(now, r.election.settings) {
		r.out.add(ProbeController{})
	}
	isLeaderKnown := r.IsLeader(now) || r.election.acceptor.isLeaseInForce(now)
	if command, ok := r.selfStop.update(r.votes.recommendations.own(), r.votes.wantsRollback(), isLeaderKnown); ok {
		r.out.add(command)
	}
	return r.endCall()
}

// needsAnswer reports whether an answer of the rollout controller to a call that begins now may end a wait of this replica.
func (r *Replica) needsAnswer(now Micros) bool {
	return r.election.acceptor.needsAnswer(now) || r.IsLeader(now) && r.votes.needsAnswer(now)
}

func (r *Replica) leadership() leadership {
	return leadership{
		lease:   &r.election.lease,
		ballot:  r.election.candidate.ballot,
		members: r.election.membership.current,
	}
}

// endCall returns the commands of the call. If the durable state has changed, the first command persists it, before any command
// that depends on it.
func (r *Replica) endCall() []Command {
	if state := r.durableState(); state != r.lastPersisted {
		r.lastPersisted = state
		r.out.addFirst(Persist{state})
	}
	return r.out.commands
}

package election

// voteCaster decides which vote a leader casts and when. It derives the decision from the recommendations, waits until no
// contrary vote can still count, replicates the record to a quorum, and then casts the vote if enough of the lease is left. [Replica]
// calls runDue while it leads, and always passes on the position of the rollout and this replica's recommendation.
// [leaderElection] passes on the records and recommendations of other replicas.
type voteCaster struct {
	id       int
	settings Settings
	disabled DisabledGuards

	rollout         rolloutPosition
	recommendations recommendations
	log             voteLog
	history         voteHistory
}

// rolloutPosition is the newest build and its current stage.
type rolloutPosition struct {
	build, stage int32
	isActive     bool // the build is under evaluation
}

// decision returns the decision with a verdict on the position's build and stage.
func (p rolloutPosition) decision(verdict Verdict) Decision {
	return Decision{Build: p.build, Stage: p.stage, Verdict: verdict}
}

// leadership holds the lease, the newest ballot and the members of a leader that casts votes.
type leadership struct {
	lease   *lease
	ballot  uint64 // the leader's newest ballot
	members Members
}

func newVoteCaster(config Config) voteCaster {
	v := voteCaster{
		id:              config.ID,
		settings:        config.Settings,
		disabled:        config.DisabledGuards,
		recommendations: recommendations{self: config.ID, settings: config.Settings},
		log:             voteLog{settings: config.Settings},
		history:         voteHistory{settings: config.Settings, disabled: config.DisabledGuards},
	}
	if config.State != nil {
		v.log.newest = config.State.Newest
	}
	return v
}

// updateRollout sets the position of the rollout. A vote applies to one stage, so a pending decision on another stage is dropped.
func (v *voteCaster) updateRollout(position rolloutPosition) {
	v.rollout = position
	if !v.log.pending.isSameStage(position.decision(NoVote)) {
		v.log.discardPending()
	}
}

// startTerm begins a new term of this replica as the leader. Earlier leaders have written their votes by writtenBy.
func (v *voteCaster) startTerm(now, writtenBy Micros) {
	v.history.startTerm(v.log.newest, now, writtenBy)
	v.log.discardPending()
}

func (v *voteCaster) hasUnresolvedVote() bool {
	return v.log.hasPending() || v.history.hasUnresolved()
}

// needsAnswer reports whether an answer of the rollout controller to a call that begins now may tell how long votes on the current stage
// count.
func (v *voteCaster) needsAnswer(now Micros) bool {
	return v.rollout.isActive && v.history.needsAnswer(v.rollout.decision(NoVote), now)
}

// wantsRollback reports whether this replica's own release analyzer recommends rolling back the build under evaluation.
func (v *voteCaster) wantsRollback() bool {
	return v.rollout.isActive && v.recommendations.own() == v.rollout.decision(Rollback)
}

// runDue replicates the decision that results from the recommendations, and casts the vote once a quorum knows the record.
func (v *voteCaster) runDue(now Micros, current leadership, out *outbox) {
	if !v.rollout.isActive {
		return
	}
	wanted := v.rollout.decision(v.recommendations.verdict(v.rollout, now))
	if v.log.pending.Term != current.lease.term || v.log.pending.Decision != wanted {
		v.log.discardPending()
	}
	isPending := v.log.hasPending()
	switch {
	case wanted.Verdict == NoVote, v.history.isRecent(wanted, now):
		return
	case !isPending && !v.history.allows(wanted, now):
		return
	case !isPending:
		v.log.append(v.id, Record{
			Term:     current.lease.term,
			Decision: wanted,
			Prior:    v.history.contraryVerdict(wanted, now),
		})
		v.sendPending(now, current, out)
	case v.log.isSendDue(now):
		v.sendPending(now, current, out)
	}
	v.castPending(now, current, out)
}

func (v *voteCaster) sendPending(now Micros, current leadership, out *outbox) {
	v.log.sentAt = now
	out.broadcast(current.members, Message{Kind: Replicate, Ballot: current.ballot, Record: v.log.pending})
}

// castPending casts the pending vote if a quorum knows its record and enough of the lease is left to write the vote.
func (v *voteCaster) castPending(now Micros, current leadership, out *outbox) {
	writeBefore := current.lease.until - v.settings.driftUpperBound(v.settings.retryInterval())
	isReplicated := v.log.isReplicated(current.members) || v.disabled.QuorumBeforeCast
	if !isReplicated || !current.lease.allowsWriteBefore(writeBefore, now) {
		return
	}
	record := v.log.pending
	v.history.addCast(record, now)
	v.log.discardPending()
	out.add(CastVote{Record: record, WriteBefore: writeBefore})
}

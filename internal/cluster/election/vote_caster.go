package election

// voteCaster decides which vote a leader casts and when: it takes the decision from the recommendations, waits until nothing contrary
// may count, has a quorum know the record, and then casts it if the lease lasts long enough. [Replica] calls runDue while it leads,
// and tells the position of the rollout and this replica's recommendation at any time; [leaderElection] passes on the records and
// recommendations of others.
type voteCaster struct {
	id       int
	settings Settings
	disabled DisabledGuards

	rollout         rolloutPosition
	recommendations recommendations
	log             voteLog
	history         voteHistory
}

// rolloutPosition is the newest build and its stage.
type rolloutPosition struct {
	build, stage int32
	isActive     bool // the build is under evaluation
}

// decision returns a verdict on the position.
func (p rolloutPosition) decision(verdict Verdict) Decision {
	return Decision{Build: p.build, Stage: p.stage, Verdict: verdict}
}

// leadership is what a leader casts by.
type leadership struct {
	lease   *lease
	ballot  uint64 // of the last renewal
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

// updateRollout takes the position of the newest build. Votes name their stage, so a decision on another one is dropped.
func (v *voteCaster) updateRollout(position rolloutPosition) {
	v.rollout = position
	if !v.log.pending.isSameStage(position.decision(NoVote)) {
		v.log.discardPending()
	}
}

// startTerm begins a new leadership of this replica.
func (v *voteCaster) startTerm(now Micros) {
	v.history.startTerm(v.log.newest, now)
	v.log.discardPending()
}

func (v *voteCaster) hasUnresolvedVote() bool {
	return v.log.hasPending() || v.history.hasUnresolved()
}

// wantsRollback reports whether this replica's own release analyzer asks to roll the build under evaluation back.
func (v *voteCaster) wantsRollback() bool {
	return v.rollout.isActive && v.recommendations.own() == v.rollout.decision(Rollback)
}

// runDue replicates what the recommendations ask for, and casts it once a quorum knows it.
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

// castPending casts the pending vote if a quorum knows it and the lease lasts long enough for it to be written.
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

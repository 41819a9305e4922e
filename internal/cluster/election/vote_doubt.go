package election

// voteDoubt tells how long a vote may still take effect or count. A rollout controller that stands still may carry out a written vote at any
// later time. Once it has answered a call that began after the vote was written, the vote takes effect within MaxVoteDelay of that
// answer, or never.
type voteDoubt struct {
	writtenBy  Micros // the vote was written by this time, or never
	isAnswered bool   // the controller has answered a call that began at writtenBy or later
	answeredAt Micros // when the answer arrived
}

// newVoteDoubt returns the doubt about a vote that was cast at castAt and written by writtenBy. If the guard is disabled, the vote's delay
// counts from the cast.
func newVoteDoubt(disabled DisabledGuards, castAt, writtenBy Micros) voteDoubt {
	return voteDoubt{writtenBy: writtenBy, isAnswered: disabled.ControllerAnswer, answeredAt: castAt}
}

// observe records that the controller has answered a call that began at begunAt.
func (d *voteDoubt) observe(now, begunAt Micros) {
	if !d.isAnswered && begunAt >= d.writtenBy {
		d.resolve(now)
	}
}

// resolve records that the controller has been seen to answer after the vote was written. Only the first answer counts.
func (d *voteDoubt) resolve(now Micros) {
	if !d.isAnswered {
		d.isAnswered, d.answeredAt = true, now
	}
}

// needsAnswer reports whether a call that begins now may end the doubt.
func (d *voteDoubt) needsAnswer(now Micros) bool { return !d.isAnswered && now >= d.writtenBy }

// effectUntil returns the time until which the vote may take effect.
func (d *voteDoubt) effectUntil(s Settings) Micros {
	if !d.isAnswered {
		return forever
	}
	return d.answeredAt + s.effectDelay()
}

// countsUntil returns the time until which the vote may count.
func (d *voteDoubt) countsUntil(s Settings) Micros {
	if !d.isAnswered {
		return forever
	}
	return d.answeredAt + s.effectWindow()
}

// countsAtLeastFor returns how much longer the vote may count at least.
func (d *voteDoubt) countsAtLeastFor(now Micros, s Settings) Micros {
	if !d.isAnswered {
		return max(0, d.writtenBy-now) + s.effectWindow()
	}
	return max(0, d.countsUntil(s)-now)
}

// controllerProbe decides when to probe the rollout controller.
type controllerProbe struct{ nextAt Micros }

// isDue reports whether a probe is due, and schedules the next one if so.
func (p *controllerProbe) isDue(now Micros, s Settings) bool {
	if now < p.nextAt {
		return false
	}
	p.nextAt = now + s.probeInterval()
	return true
}

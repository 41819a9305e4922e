package policy

const (
	verdictInterval = 1 * second // time between two repetitions of an evaluator's verdict
	verdictLifetime = 3 * second // how long a received verdict is valid; two messages in a row may be lost
)

// verdictExchange decides whether the evaluators have agreed on a verdict on a stage: a majority of them must have announced it
// recently. The analyzer passes on the evaluators' verdicts; the voter asks for the majority and announces this agent's
// verdict.
type verdictExchange struct {
	release     *releaseState
	evaluators  *evaluatorGroup
	verdicts    []peerVerdict // the last verdict of each evaluator
	announced   Verdict
	announcedAt Micros
}

func newVerdictExchange(release *releaseState, evaluators *evaluatorGroup) *verdictExchange {
	return &verdictExchange{
		release: release, evaluators: evaluators, verdicts: make([]peerVerdict, len(evaluators.members)),
	}
}

// receive records an evaluator's verdict. It ignores the verdict of any other agent.
func (x *verdictExchange) receive(verdict peerVerdict) {
	if index := x.evaluators.indexOf(verdict.from); index >= 0 {
		x.verdicts[index] = verdict
	}
}

// majority returns the verdict of most evaluators on this stage, and whether there is one.
func (x *verdictExchange) majority() (Verdict, bool) {
	var counts [Rollback + 1]int
	for _, peer := range x.verdicts {
		if x.isValid(peer) {
			counts[peer.verdict]++
		}
	}
	for verdict, count := range counts {
		if 2*count > evaluatorCount {
			return Verdict(verdict), true
		}
	}
	return NoVote, false
}

// isValid reports whether a verdict is recent and about this stage. A verdict to roll back holds for all stages of a build.
func (x *verdictExchange) isValid(peer peerVerdict) bool {
	isAboutStage := peer.stage == x.release.stage || peer.verdict == Rollback
	if peer.build != x.release.build || !isAboutStage {
		return false
	}
	isKnown := peer.verdict >= NoVote && peer.verdict <= Rollback
	return isKnown && x.release.now-peer.receivedAt < verdictLifetime
}

// announce broadcasts this evaluator's verdict at once if it has changed. It repeats the verdict once per verdictInterval if the
// verdict is not NoVote, or if the build is in evaluation.
func (x *verdictExchange) announce(verdict Verdict) {
	isRepeated := verdict != NoVote || x.release.phase == Evaluating
	isDue := isRepeated && x.release.now >= x.announcedAt+verdictInterval
	if verdict == x.announced && !isDue {
		return
	}
	x.announced = verdict
	x.announcedAt = x.release.now
	x.evaluators.broadcast(encodeVerdict(x.release.build, x.release.stage, verdict))
}

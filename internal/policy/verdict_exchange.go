package policy

const (
	verdictInterval = 1 * second // at which an evaluator repeats its verdict
	verdictLifetime = 3 * second // so that two messages in a row may be lost
)

// verdictExchange decides what the evaluators hold of a stage: what a majority of them said lately. The analyzer passes their
// verdicts on; the voter asks for the majority and announces this agent's own.
type verdictExchange struct {
	release     *releaseState
	evaluators  *evaluatorGroup
	verdicts    []peerVerdict // the last of each evaluator
	announced   Verdict
	announcedAt Micros
}

func newVerdictExchange(release *releaseState, evaluators *evaluatorGroup) *verdictExchange {
	return &verdictExchange{
		release: release, evaluators: evaluators, verdicts: make([]peerVerdict, len(evaluators.members)),
	}
}

// receive takes in an evaluator's verdict; that of any other agent does not count.
func (x *verdictExchange) receive(verdict peerVerdict) {
	if index := x.evaluators.indexOf(verdict.from); index >= 0 {
		x.verdicts[index] = verdict
	}
}

// majority is the verdict of most evaluators on this stage, and whether there is one.
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

// isValid reports whether a verdict is recent and of this stage. To roll back holds for all stages of a build.
func (x *verdictExchange) isValid(peer peerVerdict) bool {
	isOfStage := peer.stage == x.release.stage || peer.verdict == Rollback
	if peer.build != x.release.build || !isOfStage {
		return false
	}
	isKnown := peer.verdict >= NoVote && peer.verdict <= Rollback
	return isKnown && x.release.now-peer.receivedAt < verdictLifetime
}

// announce broadcasts this evaluator's verdict: at once where it is new, and once a verdictInterval.
func (x *verdictExchange) announce(verdict Verdict) {
	isOfInterest := verdict != NoVote || x.release.phase == Evaluating
	isDue := isOfInterest && x.release.now >= x.announcedAt+verdictInterval
	if verdict == x.announced && !isDue {
		return
	}
	x.announced = verdict
	x.announcedAt = x.release.now
	x.evaluators.broadcast(encodeVerdict(x.release.build, x.release.stage, verdict))
}

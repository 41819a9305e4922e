package policy

// releaseAnalyzer compares the canary build with the baseline and votes on the release. It receives messages and passes each to
// the parts that use it; the parts make the decisions. The router sends it gossip, rollout updates, reports and ticks; the
// dispatcher sends it the attempts, their outcomes and the rejected requests.
type releaseAnalyzer struct {
	messageQueue
	*sharedState
	endpoints  *endpointSet
	codec      *gossipCodec
	release    *releaseState
	evaluators *evaluatorGroup
	sharing    *outcomeSharing
	digest     *overloadDigest
	verdicts   *verdictExchange
	evidence   *buildEvidence
	slowdown   *slowdownDetector
	reports    *controllerReports
	voter      *voter
}

func newReleaseAnalyzer(shared *sharedState, endpoints *endpointSet, config Config) *releaseAnalyzer {
	release := &releaseState{sharedState: shared, rolloutState: newRolloutState(config.RolloutPlan)}
	evaluators := newEvaluatorGroup(shared, config)
	evidence := &buildEvidence{release: release, endpoints: endpoints, evaluators: evaluators}
	reports := newControllerReports(release, endpoints, evaluators, config)
	slowdown := newSlowdownDetector(release, endpoints, evaluators, reports, len(config.Classes))
	verdicts := newVerdictExchange(release, evaluators)
	return &releaseAnalyzer{
		sharedState: shared,
		endpoints:   endpoints,
		codec:       &gossipCodec{sharedState: shared, endpoints: endpoints, classes: config.Classes},
		release:     release,
		evaluators:  evaluators,
		sharing:     &outcomeSharing{sharedState: shared, evaluators: evaluators},
		digest:      &overloadDigest{sharedState: shared, evaluators: evaluators, endpoints: endpoints},
		verdicts:    verdicts,
		evidence:    evidence,
		slowdown:    slowdown,
		reports:     reports,
		voter: &voter{
			release: release, endpoints: endpoints, evaluators: evaluators, verdicts: verdicts, evidence: evidence,
			slowdown: slowdown, reports: reports, rules: config.VotingRules,
		},
	}
}

func (a *releaseAnalyzer) receive(msg message) {
	switch msg := msg.(type) {
	case GossipReceived:
		a.receiveGossip(msg)
	case RolloutUpdate:
		a.receiveUpdate(msg)
	case attemptOutcome:
		a.receiveOutcome(msg)
	case peerVerdict:
		a.verdicts.receive(msg)
	case attemptSent:
		a.receiveAttempt(msg)
	case requestRejected:
		a.receiveRejection(msg)
	case MetricsReport:
		a.reports.receive(msg)
	case ErrorReport:
		if e := a.endpoints.byID[msg.EndpointID]; e != nil {
			a.evidence.addFailure(e, true)
		}
	case tick:
		a.receiveTick()
	}
}

func (a *releaseAnalyzer) receiveTick() {
	a.sharing.sendIfDue()
	a.digest.announceIfDue()
	if a.reports.arePending() {
		a.slowdown.arrivalRate = a.reports.evaluate(&a.slowdown.latencies)
	}
	a.slowdown.update()
	a.voter.vote()
}

func (a *releaseAnalyzer) receiveGossip(gossip GossipReceived) {
	if len(gossip.Payload) == digestBytes && a.evaluators.isEvaluator(gossip.From) {
		a.endpoints.overloadDigest = gossip.Payload
		a.endpoints.digestReceivedAt = a.now
		return
	}
	for _, msg := range a.codec.decode(gossip) {
		a.enqueue(msg)
	}
}

func (a *releaseAnalyzer) receiveOutcome(outcome attemptOutcome) {
	a.slowdown.recordFinishedAttempt()
	switch {
	case outcome.fromPeer:
		outcome.endpoint.enqueue(outcome) // updates the endpoint's count of requests in flight
	case !outcome.isClientError && outcome.class >= 0:
		a.sharing.add(outcomeRecord(outcome))
	}
	a.recordOutcome(outcome)
}

// recordOutcome adds an outcome to the evidence on its build and to the slowdown detector. A timeout shows that something is
// overloaded but not what, so it is not evidence of failure.
func (a *releaseAnalyzer) recordOutcome(outcome attemptOutcome) {
	isOK := outcome.Outcome == OK
	isError := outcome.Outcome == ServerError
	if (isOK || isError) && !outcome.isClientError {
		a.evidence.addFailure(outcome.endpoint, isError)
	}
	isTimed := isOK || outcome.Outcome == TimedOut
	if !isTimed || outcome.class < 0 {
		return
	}
	isOnTime := isOK && outcome.Elapsed <= outcome.latencyObjective
	a.slowdown.recordLatency(outcome.class, outcome.Elapsed)
	a.slowdown.recordOnTime(isOnTime)
	if a.isLatenessEvidence(outcome.endpoint) {
		a.evidence.addLateness(outcome.endpoint, !isOnTime)
	}
	a.slowdown.recordBuild(outcome.endpoint.Build)
}

// isLatenessEvidence reports whether lateness at an endpoint is evidence on its build: a slow build still answers, but late.
// Lateness is evidence only while the baseline has most of the traffic, and only at warm endpoints.
func (a *releaseAnalyzer) isLatenessEvidence(e *endpointRecord) bool {
	return a.evaluators.evaluatesReleases() && a.slowdown.canaryShare < maxLatenessCanaryShare && !e.isWarmingUp()
}

func (a *releaseAnalyzer) receiveAttempt(attempt attemptSent) {
	attempt.endpoint.enqueue(attempt)
	if !attempt.fromPeer && a.evaluators.sharesInFlight {
		a.sharing.add(attemptRecord(attempt.endpoint.Endpoint))
	}
}

func (a *releaseAnalyzer) receiveRejection(rejection requestRejected) {
	if !rejection.fromPeer {
		a.sharing.add(rejectionRecord())
	}
	a.slowdown.recordOnTime(false)
}

func (a *releaseAnalyzer) receiveUpdate(update RolloutUpdate) {
	if update.IsVoteReply && update.Outcome != OK {
		a.voter.backOff(update.Outcome)
	}
	isSameStage := update.Stage == a.release.stage || a.reports.areUsed()
	keepsEvidence := update.Build == a.release.build && isSameStage
	if !a.release.apply(update) {
		return
	}
	a.voter.lastVote = NoVote
	if !keepsEvidence {
		a.evidence.reset()
	}
	a.reports.startBuild(update.Build)
	a.release.stageStartedAt = max(a.now-update.Age, a.startedAt)
}

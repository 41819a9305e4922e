package policy

import (
	"slices"

	"switchfork/internal/stats"
)

func (a *releaseAnalyzer) receive(msg message) {
	switch msg := msg.(type) {
	case GossipReceived:
		a.receiveGossip(msg)
	case RolloutUpdate:
		a.receiveUpdate(msg)
	case attemptOutcome:
		a.finishedAttempts++
		if msg.fromPeer {
			msg.endpoint.enqueue(msg) // for what it has in flight
		} else if !msg.isClientError {
			a.shareOutcome(msg)
		}
		a.recordOutcome(msg)
	case peerVerdict:
		if panelIndex := a.panelIndexOf(msg.from); panelIndex >= 0 {
			a.peerVerdicts[panelIndex] = msg
		}
	case attemptSent:
		msg.endpoint.enqueue(msg)
		if !msg.fromPeer && a.sharesInFlight {
			sent := AttemptResult{EndpointID: msg.endpoint.ID, Outcome: sentRecord}
			a.shareOutcome(attemptOutcome{AttemptResult: sent, endpoint: msg.endpoint})
		}
	case requestRejected:
		if !msg.fromPeer {
			rejected := AttemptResult{Outcome: rejectedRecord}
			a.shareOutcome(attemptOutcome{AttemptResult: rejected, endpoint: &endpointRecord{}})
		}
		a.recordOnTime(false)
	case MetricsReport:
		a.receiveReport(msg)
	case ErrorReport:
		if e := a.endpoints.byID[msg.EndpointID]; e != nil {
			a.addFailureEvidence(e, true)
		}
	case tick:
		a.receiveTick()
	}
}

func (a *releaseAnalyzer) receiveTick() {
	if len(a.outcomeBatch) > 0 && a.now >= a.batchStartedAt+batchInterval {
		a.sendBatch()
	}
	a.broadcastDigest()
	if len(a.pendingReports) > 0 {
		a.evaluateReports()
	}
	a.updateSlowdown()
	a.castVote()
}

// castVote sends the current verdict, if a vote is due.
func (a *releaseAnalyzer) castVote() {
	verdict := a.currentVerdict()
	if verdict != a.wantedVote {
		a.wantedVote, a.wantedSince = verdict, a.now
	}
	if a.isVoteDue(verdict) {
		a.lastVote, a.lastVoteAt = verdict, a.now
		a.emit(Vote{Build: a.build, Stage: a.stage, Verdict: verdict})
	}
}

func (a *releaseAnalyzer) receiveGossip(gossip GossipReceived) {
	if len(gossip.Payload) == digestBytes && slices.Contains(a.evaluators, gossip.From) {
		a.endpoints.overloadDigest, a.endpoints.digestReceivedAt = gossip.Payload, a.now
		return
	}
	for _, msg := range a.decodeRecords(gossip.From, gossip.Payload) {
		a.enqueue(msg)
	}
}

func (a *releaseAnalyzer) receiveUpdate(update RolloutUpdate) {
	if update.IsVoteReply && update.Outcome != OK {
		a.delayVote(update.Outcome)
	}
	keepsEvidence := update.Build == a.build && (update.Stage == a.stage || a.usesReports())
	if !a.apply(update) {
		return
	}
	a.lastVote = NoVote
	for _, e := range a.endpoints.all {
		e.enqueue(evidence{reset: !keepsEvidence}) // a release keeps the evidence of its last stage
	}
	a.outcomeCount *= stats.Count(keepsEvidence)
	a.buildFailureRatio *= stats.Indicator(keepsEvidence)
	if update.Build != a.reportedBuild {
		a.reportedRatio, a.reportedBuild = 0, update.Build
	}
	a.stageStartedAt = max(a.now-update.Age, a.startedAt)
}

func (a *releaseAnalyzer) receiveReport(report MetricsReport) {
	a.hasReports = a.votingRules.MetricsInterval > 0
	isKnown := report.Class < len(a.classes) && report.Build <= a.build && !a.rolledBack[report.Build]
	if a.usesReports() && report.Requests > 0 && isKnown {
		a.pendingReports = append(a.pendingReports, report)
	}
}

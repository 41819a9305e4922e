package simulation

import "switchfork/internal/cluster/election"

const (
	// maxStageChanges of the rollout in a schedule.
	maxStageChanges = 2
	// alternatingRate of the recommendations change, while the build is good.
	alternatingRate = 0.15
	// firstRecommendation of each agent comes within this time.
	firstRecommendation = 500 * ms
	// recommendationsPerLease of an agent, at most.
	recommendationsPerLease = 4
	// maxRecommendationJitter is added to the interval between two recommendations.
	maxRecommendationJitter = 200 * ms
	// maxStageDelay passes until an agent notices that the rollout has moved on.
	maxStageDelay = 300 * ms
	// noWriteLimit is a time before which any vote is written.
	noWriteLimit = never
)

// electionScript draws what happens in a schedule: what the agents recommend, when the build turns bad and the rollout moves on,
// and which faults there are.
type electionScript struct {
	*electionRun
	faults faultInjector
}

func newElectionScript(r *electionRun) *electionScript {
	return &electionScript{electionRun: r, faults: faultInjector{r}}
}

// scheduleAll draws all that is known from the start.
func (s *electionScript) scheduleAll() {
	for i := range s.agents {
		s.schedule(s.random.Int63n(firstRecommendation), func() { s.recommendRepeatedly(i, election.Advance) })
	}
	if s.LeaderFaultOnly {
		s.schedule(s.end()/3, s.endLeadership)
		return
	}
	s.schedule(s.end()*2/3, func() { s.controller.markBad(s.now) })
	s.faults.scheduleAll()
	for range s.random.Intn(maxStageChanges + 1) {
		s.schedule(s.random.Int63n(s.end()), s.nextStage)
	}
}

// recommendRepeatedly makes an agent repeat its recommendation, as its release analyzer would. In schedules with faults the
// recommendations alternate.
func (s *electionScript) recommendRepeatedly(i int, verdict election.Verdict) {
	switch {
	case s.controller.isBad:
		verdict = election.Rollback
	case !s.LeaderFaultOnly && s.random.Float64() < alternatingRate:
		verdicts := []election.Verdict{election.Advance, election.Rollback, election.Hold}
		verdict = verdicts[s.random.Intn(len(verdicts))]
	}
	s.recommend(i, verdict)
	interval := electionSettings.Lease/recommendationsPerLease + s.random.Int63n(maxRecommendationJitter)
	s.schedule(s.now+interval, func() { s.recommendRepeatedly(i, verdict) })
}

func (s *electionScript) recommend(i int, verdict election.Verdict) {
	s.agents[i].recommendation = election.Decision{Build: s.controller.build, Stage: s.controller.stage, Verdict: verdict}
	s.runAgent(i, func(a *electionAgent) {
		s.execute(i, a.replica.Recommend(s.clock(a), a.recommendation))
		if s.VoteIndependently && verdict != election.NoVote {
			record := election.Record{Term: 1, Decision: a.recommendation}
			s.writeVote(i, election.CastVote{Record: record, WriteBefore: noWriteLimit})
		}
	})
}

// endLeadership is the one event of a schedule with LeaderFaultOnly: the build turns bad, and the leader crashes or leaves.
func (s *electionScript) endLeadership() {
	s.controller.markBad(s.now)
	if s.NoFaults {
		return
	}
	i := s.leaderOrAny()
	leader := s.agents[i]
	if s.LeaderLeaves {
		s.execute(i, leader.replica.Leave(s.clock(leader)))
		return
	}
	leader.isDown = true
	s.schedule(s.now+s.end()/4, func() { s.start(i, true) })
}

// nextStage moves the rollout on; agents notice it one after the other.
func (s *electionScript) nextStage() {
	s.controller.nextStage()
	for i := range s.agents {
		s.schedule(s.now+s.random.Int63n(maxStageDelay), func() {
			s.runAgent(i, func(a *electionAgent) {
				s.execute(i, a.replica.UpdateRollout(s.clock(a), s.controller.build, s.controller.stage, true))
			})
		})
	}
}

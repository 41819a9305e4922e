package simulation

import "switchfork/internal/cluster/election"

const (
	// maxStageChanges bounds the number of stage changes in a schedule.
	maxStageChanges = 2
	// alternatingRate is the fraction of the recommendations whose verdict is drawn again while the build is good.
	alternatingRate = 0.15
	// firstRecommendation is the time within which each agent makes its first recommendation.
	firstRecommendation = 500 * ms
	// recommendationsPerLease bounds the number of recommendations that an agent makes during a lease.
	recommendationsPerLease = 4
	// maxRecommendationJitter bounds the random time that is added to the interval between two recommendations.
	maxRecommendationJitter = 200 * ms
	// maxStageDelay bounds the time until an agent learns of a new stage.
	maxStageDelay = 300 * ms
	// noWriteLimit is the WriteBefore of a vote that may be written at any time.
	noWriteLimit = never
)

// electionScript draws the events of a schedule: the recommendations of the agents, the changes of the stage, the time at which
// the build turns bad, and the faults.
type electionScript struct {
	*electionRun
	faults faultInjector
}

func newElectionScript(r *electionRun) *electionScript {
	return &electionScript{electionRun: r, faults: faultInjector{r}}
}

// scheduleAll draws and schedules the events that do not depend on the course of the schedule.
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

// recommendRepeatedly makes an agent repeat its recommendation, as its release analyzer would. In schedules with random faults,
// the verdict is sometimes drawn again. Once the build is bad, the agent recommends a rollback.
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

// endLeadership is the only event besides the recommendations in a schedule with LeaderFaultOnly. The build turns bad, and the
// leader crashes or leaves unless NoFaults is set.
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

// nextStage moves the rollout to the next stage. Each agent learns of the new stage after a random delay.
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

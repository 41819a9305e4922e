package policy

import (
	"math/rand"
	"slices"

	"switchfork/internal/aimd"
	"switchfork/internal/exposure"
	"switchfork/internal/ramp"
	"switchfork/internal/stats"
)

// runtime is what all components share: the time, the source of randomness and the commands to carry out.
type runtime struct {
	now, startedAt   Micros
	random           *rand.Rand
	commands         []Command
	pendingEndpoints []*endpointRecord // those with messages to process
}

// endpointSet keeps one record for each endpoint of the list.
type endpointSet struct {
	mailbox
	*runtime
	byID              map[uint32]*endpointRecord
	all               []*endpointRecord
	healthChecks      bool
	slowStart         SlowStart
	minLimitPerCore   float64 // the lowest concurrency limit of one core
	warmConcurrency   float64 // requests that a warm endpoint serves at one time: one where no report shows more
	overloadDigest    []byte  // the endpoints that the evaluators last called overloaded
	digestReceivedAt  Micros
	hasWeights        bool    // the list has the endpoints' capacities
	meanCapacity      float64 // requests a second that an endpoint can serve, by the reports; 0: not known
	zoneCount         int     // zones seen in the list so far
	pointsPerEndpoint int     // on the ring
	ringSalt          uint64
}

// endpointRecord is what is known of one endpoint, and the actor that keeps it.
type endpointRecord struct {
	mailbox
	*runtime
	Endpoint
	endpointHealth
	endpoints      *endpointSet
	inList         bool
	isQueued       bool // in the runtime's pendingEndpoints
	ringPoints     []uint64
	healthChecks   bool
	slowStart      SlowStart
	inFlight       int             // this agent's attempts without a result
	recentAttempts []recentAttempt // this agent's attempts within OverloadAfter
}

// endpointHealth is what is known of one process. A new process under the same id starts afresh.
type endpointHealth struct {
	limit               aimd.Limit // of this agent's attempts in flight
	errorRate           float64    // moving mean
	failureRatio        float64    // log likelihood ratio against its build in this stage, by failures
	failureCusum        float64    // the same, but never below 0
	latenessRatio       float64    // log likelihood ratio against its build in this stage, by late answers
	flooredLateness     float64    // the same with less saved up: what counts where most endpoints are late
	hasEvidence         bool
	waitingSince        Micros // no answer since then, with attempts in flight
	lastObjective       Micros // latency objective of the last attempt
	silentOutcomes      int    // outcomes in a row that were no answer
	lastAnswerAt        Micros
	fullUntil           Micros
	ejectedUntil        Micros  // 0: not ejected
	reportedRate        float64 // moving mean, while warm
	reportedUtilization float64 // moving mean, while warm
	totalInFlight       float64 // requests of all agents, as far as is known
	isChecking          bool    // a health check is in progress
}

type recentAttempt struct {
	sentAt Micros
	cost   float64
}

// endpointPoller asks for the endpoint list where discovery has to be asked, again after each failed call.
type endpointPoller struct {
	mailbox
	*runtime
	isEnabled     bool
	pollAt        Micros // -1: a call is in progress, or the watch is open
	failuresInRow int
}

// rolloutState is what a component knows of the current rollout.
type rolloutState struct {
	plan         RolloutPlan
	build, stage int
	phase        Phase
	trafficCap   float64
	rolledBack   map[int]bool // by build
}

// apply takes over an update and reports whether build, stage or phase have changed.
func (s *rolloutState) apply(update RolloutUpdate) bool {
	if update.IsVoteReply && update.Outcome != OK {
		return false
	}
	changed := update.Build != s.build || update.Stage != s.stage || update.Phase != s.phase
	s.build, s.stage, s.phase, s.trafficCap = update.Build, update.Stage, update.Phase, update.Cap
	s.rolledBack[update.Build] = update.Phase == RollingBack || update.Phase == RolledBack
	return changed
}

func (s *rolloutState) isLastStage() bool { return s.stage == len(s.plan.Caps)-1 }

// request is a client's request that has no final answer yet, or whose last attempt has no result yet.
type request struct {
	RequestArrived
	acceptedAt      Micros // when the client first sent it
	sentAt          Micros // the last attempt
	trafficFraction float64
	ringPosition    uint64
	clientHash      uint64          // of its key, class and tenant
	attemptAt       *endpointRecord // where an attempt is in flight
	attempts        int
	serverErrors    int
	isClosed        bool      // answered or abandoned, with an attempt in flight
	mayHaveRunAt    *Endpoint // where it may have run first
	dedupUntil      Micros    // when the deduplication of what may have run ends; 0: there is none
	triedEndpoints  []*endpointRecord
}

func (r *request) hasTried(e *endpointRecord) bool { return slices.Contains(r.triedEndpoints, e) }

// markMayHaveRun records the first endpoint at which the request may have run.
func (r *request) markMayHaveRun(e *endpointRecord, class *RequestClass) {
	if r.mayHaveRunAt == nil {
		ran := e.Endpoint
		r.mayHaveRunAt, r.dedupUntil = &ran, class.dedupUntil(r.sentAt)
	}
}

// dedupUntil is when a keyed request that was sent at the given time is no longer deduplicated; 0 for others.
func (c *RequestClass) dedupUntil(sentAt Micros) Micros {
	if c.Idempotency != Keyed {
		return 0
	}
	return sentAt + c.DedupWindow
}

// warmUp is the configured growth of a starting endpoint's capacity.
func (s SlowStart) warmUp() ramp.Linear {
	return ramp.Linear{Initial: s.InitialCapacity, Duration: s.Duration}
}

// read returns the figures of a load report, and whether it has them.
func (f LoadReportFormat) read(load []float32) (utilization, rate float64, isReported bool) {
	if f.Utilization == 0 || f.Rate == 0 || len(load) < max(f.Utilization, f.Rate) {
		return 0, 0, false
	}
	return float64(load[f.Utilization-1]), float64(load[f.Rate-1]), true
}

// The ranks of builds, by which an endpoint is looked for.
const (
	newestBuild  = iota // the newest build in the list, in evaluation or released last
	earlierBuild        // the builds to use otherwise
	leavingBuild        // builds that were rolled back or are being replaced
)

// dispatcher routes requests and answers those that do not succeed.
type dispatcher struct {
	mailbox
	*runtime
	rolloutState
	endpoints       *endpointSet
	analyzer        *releaseAnalyzer
	instance        Instance
	classes         []RequestClass
	retryLimits     RetryLimits
	slowStart       SlowStart
	exposureLimit   ExposureLimit
	crossZoneCost   float64            // of an attempt in another zone
	zones           []*zoneState       // by their index
	exposureWindows []*exposure.Window // by class, or a single one
	requests        map[uint64]*request
	heldRequests    []*request
	keyBuilds       map[uint64]int // the latest build that answered a key, where keys never go back
	keys            keyUsages
	clients         rejectedClients
	tenantErrors    tenantErrorRates
	overloadedAt    Micros  // when a request was last given up
	meanCost        float64 // moving mean of the cost hints, or else of answer times
	arrivalInterval float64 // moving mean of the time between two requests
	lastArrivalAt   Micros
	topBuild        int
	topShare        float64 // share of requests that go to topBuild
}

// zoneState is what this agent knows of a zone's endpoints together.
type zoneState struct {
	limit     float64 // of this agent's attempts in flight
	slowShare float64 // moving mean of slow answers
	inFlight  int
}

func (z *zoneState) isOpen() bool { return float64(z.inFlight+1) <= z.limit }

// releaseAnalyzer compares the canary build with the baseline and votes.
type releaseAnalyzer struct {
	mailbox
	*runtime
	rolloutState
	evaluatorPanel
	reportState
	trafficRates
	voteState
	endpoints         *endpointSet
	votingRules       VotingRules
	classes           []RequestClass
	index, agentCount int
	stageStartedAt    Micros // or this agent's start, if that was later
	outcomeCount      int
	buildFailureRatio float64 // log likelihood ratio by failures, over all of the build's endpoints
	baselineFailures  outcomeCounts
	baselineLateness  outcomeCounts
	slowdownTime      float64 // µs, weighted, that the fleet has been slow
	slowdownRatio     float64 // median latency over the baseline's; 0: not known
}

// evaluatorPanel is the state of the agents that evaluate for all, where agents may send gossip.
type evaluatorPanel struct {
	evaluators       []int // none where each agent evaluates by itself
	isEvaluator      bool  // this agent is one of them
	sharesInFlight   bool  // agents tell the evaluators what is in flight at endpoints
	outcomeBatch     []byte
	batchStartedAt   Micros
	digestSentAt     Micros
	peerVerdicts     []peerVerdict // the last of each evaluator
	announcedVerdict Verdict
	verdictSentAt    Micros
}

// reportState is what the rollout controller counted over all agents.
type reportState struct {
	pendingReports      []MetricsReport // not evaluated yet
	hasReports          bool
	baselineTotals      []classTotals // of earlier builds, by class, decaying
	reportedBuild       int
	reportedRatio       float64 // log likelihood ratio against reportedBuild
	reportedSlowdown    float64
	reportedCanaryShare float64
}

// trafficRates are measurements of now and of the baseline, the time before the release.
type trafficRates struct {
	baselineLatency        []float64 // by class
	baselineAnswers        []float64 // by class
	completedOnTime        float64   // requests since the last tick
	completionRate         float64   // requests on time a µs
	baselineCompletionRate float64
	onTimeShare            float64
	baselineOnTimeShare    float64
	relativeLatencies      []float64 // the last answers over their class's baseline
	baselineMedian         float64   // of the relative latencies
	finishedAttempts       float64   // of all that ended since the last tick
	arrivalRate            float64   // of these a µs, or a report's requests
	baselineArrivalRate    float64
	lastTickAt             Micros
	canaryTrafficShare     float64
	baselineCapacity       float64 // warm endpoints
}

// voteState is what this agent has voted and wants to vote.
type voteState struct {
	lastVote, wantedVote Verdict
	wantedSince          Micros
	lastVoteAt           Micros
	quietUntil           Micros // no vote before then
}

// outcomeCounts are decaying counts of good and bad outcomes.
type outcomeCounts struct{ good, bad float64 }

func (c *outcomeCounts) add(isBad bool, decay float64) {
	c.good = c.good*decay + stats.Indicator(!isBad)
	c.bad = c.bad*decay + stats.Indicator(isBad)
}

func (c *outcomeCounts) count() float64 { return c.good + c.bad }

// rate is the share of bad outcomes, at least the given floor.
func (c *outcomeCounts) rate(floor float64) float64 { return max(floor, c.bad/max(1, c.good+c.bad)) }

// classTotals are a class's decaying counts from the rollout controller's reports.
type classTotals struct{ requests, failures, totalLatency float64 }

func (t *classTotals) meanLatency() float64 { return t.totalLatency / max(1, t.requests-t.failures) }

// decayed returns the totals times a factor.
func (t *classTotals) decayed(factor float64) classTotals {
	return classTotals{t.requests * factor, t.failures * factor, t.totalLatency * factor}
}

// add adds a report's counts.
func (t *classTotals) add(report MetricsReport) {
	good := float64(report.Requests - report.Failures)
	t.requests += float64(report.Requests)
	t.failures += float64(report.Failures)
	t.totalLatency += good * float64(report.MeanLatency)
}

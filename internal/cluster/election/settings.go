package election

// Micros is a point in time or a duration in whole microseconds.
type Micros = int64

// forever is later than any time.
const forever Micros = 1 << 62

// Settings holds the parameters that must be the same on all replicas.
type Settings struct {
	Lease      Micros  // how long a leadership lasts unless it is renewed
	ClockDrift float64 // the most that any clock may run fast or slow, as a fraction of real time
	// MaxVoteDelay bounds how late a vote takes effect, if at all: it counts from the first answer of the rollout controller to a call that
	// began after the vote was written. A vote is written within this time after its cast.
	MaxVoteDelay   Micros
	VoteLifetime   Micros // how long a vote counts after it has taken effect
	RollbackQuorum int    // how many replicas must recommend a rollback
}

// Config configures one replica.
type Config struct {
	ID             int           // the replica's ID, from 0 to MaxReplicas-1
	Members        Members       // members at the start, unless State holds newer ones
	State          *DurableState // the state that the replica last persisted; nil: none
	Settings       Settings
	DisabledGuards DisabledGuards
	// IsFresh marks a replica that has no state although it may have run before. Such a replica abstains until all leases that it
	// may have accepted have ended, and the votes cast under them can no longer count.
	IsFresh bool
	// FirstRound is the lowest round of the ballots of a replica that IsFresh. It has to be higher than the rounds of all ballots before the
	// replica lost its state: if most replicas lose their state, a leader's records must not look older than those of earlier terms.
	FirstRound uint64
	Now        Micros // current time by the replica's own clock
	Seed       int64  // seed of the random delays before campaigns
}

// DisabledGuards turns safety guards off, which shows whether a checker finds the violations that the guards prevent. Each field,
// when set, turns off the guard that its comment describes.
type DisabledGuards struct {
	// LeaseTimeout: a leader stops casting when its lease has ended or when the process may have been paused, because another
	// replica may lead by then.
	LeaseTimeout bool
	// QuorumBeforeCast: a vote is cast only after a quorum knows its record, so that the next leader knows the record.
	QuorumBeforeCast bool
	// WaitForEarlierVotes: a contrary vote waits until earlier votes can no longer count.
	WaitForEarlierVotes bool
	// PromiseAfterLease: until the lease that a replica has accepted ends, the replica promises nothing to replicas other than
	// the holder of that lease.
	PromiseAfterLease bool
	// ControllerAnswer: how long a vote may still count is measured from an answer of the rollout controller, because a controller that
	// stands still may carry the vote out at any later time.
	ControllerAnswer bool
	// LeaseFromStart: a lease counts from the start of its ballot, even if the ballot was sent again later, because promises and
	// acceptances may be answers to the first message.
	LeaseFromStart bool
}

// leaseFraction is a duration expressed as a fraction of a lease. The value is the divisor.
type leaseFraction Micros

const (
	halfLease        leaseFraction = 2
	thirdOfLease     leaseFraction = 3
	sixthOfLease     leaseFraction = 6
	fifteenthOfLease leaseFraction = 15
	thirtiethOfLease leaseFraction = 30
)

func (f leaseFraction) of(lease Micros) Micros { return lease / Micros(f) }

// Times and intervals of the protocol, each as a fraction of a lease.
const (
	// renewalFraction is the interval between renewals of a lease. If a renewal fails, the leader has time for two more tries.
	renewalFraction = thirdOfLease
	// ballotResendFraction is the time after which an unanswered ballot is sent again. This happens twice in the interval
	// between two renewals.
	ballotResendFraction = sixthOfLease
	// ballotTimeoutFraction is the age at which a ballot times out. A campaign then starts a new ballot instead of sending the
	// old one again: if the old ballot won later, most of its lease would be over.
	ballotTimeoutFraction = halfLease
	// maxCallGapFraction is the maximum time between two calls to the replica's methods. If more time passes, the process may
	// have been paused, and the replica's leadership ends.
	maxCallGapFraction = halfLease
	// probeFraction is the interval between two probes of the rollout controller while its answer is needed.
	probeFraction = thirdOfLease
	// retryFraction is how often a record or a set of members is sent again until a quorum has acknowledged it. The caller has
	// to call Tick at least as often, unless it calls another method in between.
	retryFraction = fifteenthOfLease
	// minCampaignDelayFraction is the shortest delay before a campaign.
	minCampaignDelayFraction = thirtiethOfLease
	// maxCampaignJitterFraction bounds the random delay that is added to the shortest delay before a campaign.
	maxCampaignJitterFraction = thirdOfLease
)

const (
	// deferralIntervalLeases is the minimum time, in leases, between two deferrals of a replica's own campaign in favor of the
	// same candidate. Without this limit, a candidate whose ballots never get through could keep the replica from ever
	// campaigning.
	deferralIntervalLeases = 2
	// recommendationLeases is how long another replica's recommendation counts after its receipt, in leases. Replicas repeat
	// their recommendations twice per lease.
	recommendationLeases = 2
	// recastLifetimeFraction is the fraction of a vote's lifetime after which the vote is cast again.
	recastLifetimeFraction = 0.66
)

// driftUpperBound returns a duration by this clock. When it has passed, span has passed by any other clock, too.
func (s Settings) driftUpperBound(span Micros) Micros {
	return Micros(float64(span) * (1 + 2*s.ClockDrift))
}

// driftLowerBound returns a duration by this clock. When it has passed, span has not yet passed by any other clock.
func (s Settings) driftLowerBound(span Micros) Micros {
	return Micros(float64(span) * (1 - 2*s.ClockDrift))
}

func (s Settings) renewalInterval() Micros { return renewalFraction.of(s.Lease) }

func (s Settings) ballotResendInterval() Micros { return ballotResendFraction.of(s.Lease) }

func (s Settings) ballotTimeout() Micros { return ballotTimeoutFraction.of(s.Lease) }

func (s Settings) deferralInterval() Micros { return deferralIntervalLeases * s.Lease }

func (s Settings) minCampaignDelay() Micros { return minCampaignDelayFraction.of(s.Lease) }

func (s Settings) maxCampaignJitter() Micros { return maxCampaignJitterFraction.of(s.Lease) }

func (s Settings) maxCallGap() Micros { return maxCallGapFraction.of(s.Lease) }

func (s Settings) retryInterval() Micros { return retryFraction.of(s.Lease) }

func (s Settings) probeInterval() Micros { return probeFraction.of(s.Lease) }

func (s Settings) recommendationLifetime() Micros { return recommendationLeases * s.Lease }

func (s Settings) recastInterval() Micros {
	return Micros(recastLifetimeFraction * float64(s.VoteLifetime))
}

// effectDelay returns how long a vote may still take effect after an answer of the rollout controller.
func (s Settings) effectDelay() Micros { return s.driftUpperBound(s.MaxVoteDelay) }

// effectWindow returns how long a vote may still count after an answer of the rollout controller. The vote may take effect late, and then counts for its
// lifetime.
func (s Settings) effectWindow() Micros { return s.driftUpperBound(s.MaxVoteDelay + s.VoteLifetime) }

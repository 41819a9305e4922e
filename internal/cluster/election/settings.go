package election

// Micros is a point in time or a duration in whole microseconds.
type Micros = int64

// forever is later than any time.
const forever Micros = 1 << 62

// Settings are the parameters that all replicas have to agree on.
type Settings struct {
	Lease          Micros  // how long a leadership lasts unless it is renewed
	ClockDrift     float64 // bounds how much faster or slower any clock runs, as a fraction
	MaxVoteDelay   Micros  // a vote that was written takes effect within this time, or never
	VoteLifetime   Micros  // how long a vote counts after it took effect
	RollbackQuorum int     // how many replicas have to recommend a rollback
}

// Config describes one replica at its start.
type Config struct {
	ID             int           // the replica's number, below MaxReplicas
	Members        Members       // in force unless State holds newer ones
	State          *DurableState // that the replica last persisted; nil: none
	Settings       Settings
	DisabledGuards DisabledGuards
	// IsFresh: the replica has no state although it may have run before. It abstains until nothing can count any more that it
	// may have answered for.
	IsFresh bool
	Now     Micros // by the replica's own clock
	Seed    int64  // of the random delays before campaigns
}

// DisabledGuards switches safety guards off, so that a checker can be seen to find what they prevent.
type DisabledGuards struct {
	// LeaseTimeout: a leader stops casting when its lease is over or when it may have paused, as another may lead by then.
	LeaseTimeout bool
	// QuorumBeforeCast: a vote is cast only after a quorum knows its record, so that the next leader knows it.
	QuorumBeforeCast bool
	// WaitForEarlierVotes: a contrary vote waits until earlier ones can't count any more.
	WaitForEarlierVotes bool
	// PromiseAfterLease: a replica promises nothing to others until the lease that it has accepted is over.
	PromiseAfterLease bool
	// LeaseFromStart: a lease counts from the beginning of its ballot, not from when the ballot was sent again: the promises and
	// acceptances may answer the first sending.
	LeaseFromStart bool
}

// leaseFraction is a duration as a part of a lease, by what the lease is divided by.
type leaseFraction Micros

const (
	halfLease        leaseFraction = 2
	thirdOfLease     leaseFraction = 3
	sixthOfLease     leaseFraction = 6
	fifteenthOfLease leaseFraction = 15
	thirtiethOfLease leaseFraction = 30
)

func (f leaseFraction) of(lease Micros) Micros { return lease / Micros(f) }

const (
	// renewalFraction leaves a leader time for two more tries after the first renewal that fails.
	renewalFraction = thirdOfLease
	// ballotResendFraction of a lease after it was sent, an unanswered ballot is sent again: twice in the interval between two
	// renewals.
	ballotResendFraction = sixthOfLease
	// ballotTimeoutFraction of a lease after its beginning a ballot is given up; a later one would bring a lease that is mostly over.
	ballotTimeoutFraction = halfLease
	// maxCallGapFraction: a longer gap between two calls counts as a pause of the process.
	maxCallGapFraction = halfLease
	// retryFraction is how often an unanswered message is sent again, and how often a replica wants a tick.
	retryFraction = fifteenthOfLease
	// minCampaignDelayFraction is the least that a campaign waits.
	minCampaignDelayFraction = thirtiethOfLease
	// maxCampaignJitterFraction bounds the random part that comes on top.
	maxCampaignJitterFraction = thirdOfLease
)

const (
	// deferralIntervalLeases bounds how often a replica postpones its own campaign for another candidate, in leases, so that a
	// candidate whose ballots never come through can't hold it off for good.
	deferralIntervalLeases = 2
	// recommendationLeases is how long a recommendation counts; replicas repeat theirs twice a lease.
	recommendationLeases = 2
	// recastLifetimeFraction of a vote's lifetime is over when the vote is cast again.
	recastLifetimeFraction = 0.66
)

// driftUpperBound returns a duration by this clock after which span is surely over by any other clock.
func (s Settings) driftUpperBound(span Micros) Micros {
	return Micros(float64(span) * (1 + 2*s.ClockDrift))
}

// driftLowerBound returns a duration by this clock after which span is surely not over by any other clock.
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

func (s Settings) recommendationLifetime() Micros { return recommendationLeases * s.Lease }

func (s Settings) recastInterval() Micros {
	return Micros(recastLifetimeFraction * float64(s.VoteLifetime))
}

// stateLossWindow returns how long a replica that has lost its state abstains: a leader that it has accepted may cast for one more
// lease, and its votes count for the window after.
func (s Settings) stateLossWindow() Micros {
	return s.driftUpperBound(s.Lease + s.MaxVoteDelay + s.VoteLifetime)
}

// effectDelay returns how long a vote that was cast may still take effect.
func (s Settings) effectDelay() Micros { return s.driftUpperBound(s.MaxVoteDelay) }

// effectWindow returns how long a vote that was cast may still count: it may take effect late, and counts for its lifetime.
func (s Settings) effectWindow() Micros { return s.driftUpperBound(s.MaxVoteDelay + s.VoteLifetime) }

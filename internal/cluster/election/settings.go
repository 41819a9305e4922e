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

const (
	// renewalsPerLease leaves a leader time for two more tries after the first renewal that fails.
	renewalsPerLease = 3
	// ballotResendsPerLease is how often an unanswered ballot is sent again: twice in the interval between two renewals.
	ballotResendsPerLease = 6
	// ballotTimeoutsPerLease ends a ballot after half a lease; a later one would bring a lease that is mostly over.
	ballotTimeoutsPerLease = 2
	// deferralIntervalLeases bounds how often a replica postpones its own campaign for another candidate, in leases, so that a
	// candidate whose ballots never come through can't hold it off for good.
	deferralIntervalLeases = 2
	// callGapsPerLease: a gap between two calls of more than half a lease counts as a pause of the process.
	callGapsPerLease = 2
	// retriesPerLease is how often an unanswered message is sent again, and how often a replica wants a tick.
	retriesPerLease = 15
	// campaignDelaysPerLease: a campaign waits a thirtieth of a lease at least.
	campaignDelaysPerLease = 30
	// campaignJittersPerLease: a random part of up to a third of a lease comes on top.
	campaignJittersPerLease = 3
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

func (s Settings) renewalInterval() Micros { return s.Lease / renewalsPerLease }

func (s Settings) ballotResendInterval() Micros { return s.Lease / ballotResendsPerLease }

func (s Settings) ballotTimeout() Micros { return s.Lease / ballotTimeoutsPerLease }

func (s Settings) deferralInterval() Micros { return deferralIntervalLeases * s.Lease }

func (s Settings) minCampaignDelay() Micros { return s.Lease / campaignDelaysPerLease }

func (s Settings) maxCampaignJitter() Micros { return s.Lease / campaignJittersPerLease }

func (s Settings) maxCallGap() Micros { return s.Lease / callGapsPerLease }

func (s Settings) retryInterval() Micros { return s.Lease / retriesPerLease }

func (s Settings) recommendationLifetime() Micros { return recommendationLeases * s.Lease }

func (s Settings) recastInterval() Micros {
	return Micros(recastLifetimeFraction * float64(s.VoteLifetime))
}

// memoryLossWindow returns how long a replica that has lost its state abstains: a leader that it has accepted may cast for one more
// lease, and its votes count for the window after.
func (s Settings) memoryLossWindow() Micros {
	return s.driftUpperBound(s.Lease + s.MaxVoteDelay + s.VoteLifetime)
}

// effectDelay returns how long a vote that was cast may still take effect.
func (s Settings) effectDelay() Micros { return s.driftUpperBound(s.MaxVoteDelay) }

// effectWindow returns how long a vote that was cast may still count: it may take effect late, and counts for its lifetime.
func (s Settings) effectWindow() Micros { return s.driftUpperBound(s.MaxVoteDelay + s.VoteLifetime) }

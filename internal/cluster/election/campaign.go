package election

import "math/rand"

// campaignTimer decides when a replica that does not lead may campaign for the leadership. The timer waits for a random delay,
// and longer after the replica has promised another candidate's ballot. [leaderElection] checks the timer on every tick and after
// every event, but not for renewals of the replica's own lease.
type campaignTimer struct {
	settings Settings
	random   *rand.Rand
	nextAt   Micros
	// deferredAt is when the campaign was last deferred to a candidate, indexed by the candidate's ID; 0: never.
	deferredAt [MaxReplicas]Micros
}

func newCampaignTimer(config Config) campaignTimer {
	return campaignTimer{settings: config.Settings, random: rand.New(rand.NewSource(config.Seed))}
}

func (t *campaignTimer) isDue(now Micros) bool { return now >= t.nextAt }

// reset schedules the next campaign after a random delay.
func (t *campaignTimer) reset(now Micros) { t.nextAt = now + t.delay() }

// deferTo postpones the campaign until the ballot of another candidate has timed out, and by a random delay from then. The
// campaign is deferred to the same candidate only once in a deferral interval, because a candidate whose ballots never get
// through must not keep this replica from ever campaigning.
func (t *campaignTimer) deferTo(candidate int, now Micros) {
	last := t.deferredAt[candidate]
	if last != 0 && now < last+t.settings.deferralInterval() {
		return
	}
	t.deferredAt[candidate] = now
	t.nextAt = max(t.nextAt, now+t.settings.ballotTimeout()+t.delay())
}

// delay returns a random delay, so that replicas rarely campaign at the same time.
func (t *campaignTimer) delay() Micros {
	return t.settings.minCampaignDelay() + t.random.Int63n(max(1, t.settings.maxCampaignJitter()))
}

package election

import "math/rand"

// campaignTimer decides when a replica that does not lead may campaign: after a random delay, and later than a candidate that it
// has promised. [leaderElection] asks it whenever time has passed; a renewal of the replica's own lease does not depend on it.
type campaignTimer struct {
	settings Settings
	random   *rand.Rand
	nextAt   Micros
	// deferredAt is when the campaign was last postponed for a candidate, by that one's number; 0: never.
	deferredAt [MaxReplicas]Micros
}

func newCampaignTimer(config Config) campaignTimer {
	return campaignTimer{settings: config.Settings, random: rand.New(rand.NewSource(config.Seed))}
}

func (t *campaignTimer) isDue(now Micros) bool { return now >= t.nextAt }

// reset postpones the campaign by a random delay.
func (t *campaignTimer) reset(now Micros) { t.nextAt = now + t.delay() }

// deferTo postpones the campaign for as long as another candidate's ballot may last. It does so once in an interval only: a
// candidate whose ballots never come through must not hold this replica off for good.
func (t *campaignTimer) deferTo(candidate int, now Micros) {
	last := t.deferredAt[candidate]
	if last != 0 && now < last+t.settings.deferralInterval() {
		return
	}
	t.deferredAt[candidate] = now
	t.nextAt = max(t.nextAt, now+t.settings.ballotTimeout()+t.delay())
}

// delay returns a random delay, which keeps replicas from campaigning at the same time.
func (t *campaignTimer) delay() Micros {
	return t.settings.minCampaignDelay() + t.random.Int63n(max(1, t.settings.maxCampaignJitter()))
}

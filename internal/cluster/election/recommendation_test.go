package election

import "testing"

// A rollback needs the recommendation of enough replicas. Otherwise this replica's own recommendation for the stage decides, but
// the verdict is never to advance while any replica recommends a rollback.
func TestRecommendedVerdict(t *testing.T) {
	rollout := rolloutPosition{build: 4, stage: 1, isActive: true}
	otherStage := rolloutPosition{build: 4, stage: 2, isActive: true}
	expired := second + testSettings().recommendationLifetime()
	for name, tc := range map[string]struct {
		quorum        int
		own           Verdict
		others        []Verdict // recommended by replicas 1, 2 and so on
		ownOtherStage bool
		now           Micros
		want          Verdict
	}{
		"nobody":                     {quorum: 1, now: second, want: NoVote},
		"own":                        {quorum: 1, own: Advance, now: second, want: Advance},
		"own of another stage":       {quorum: 1, own: Advance, ownOtherStage: true, now: second, want: NoVote},
		"others' advances":           {quorum: 1, others: []Verdict{Advance, Advance}, now: second, want: NoVote},
		"another's rollback":         {quorum: 1, own: Advance, others: []Verdict{Rollback}, now: second, want: Rollback},
		"no quorum set":              {own: Hold, others: []Verdict{Rollback}, now: second, want: Rollback},
		"one rollback of two":        {quorum: 2, own: Advance, others: []Verdict{Rollback}, now: second, want: NoVote},
		"a hold beside a rollback":   {quorum: 2, own: Hold, others: []Verdict{Rollback}, now: second, want: Hold},
		"own rollback of two":        {quorum: 2, own: Rollback, now: second, want: Rollback},
		"two rollbacks of two":       {quorum: 2, own: Advance, others: []Verdict{Rollback, Rollback}, now: second, want: Rollback},
		"another's rollback, old":    {quorum: 1, own: Advance, others: []Verdict{Rollback}, now: expired, want: Advance},
		"another's rollback, recent": {quorum: 1, own: Advance, others: []Verdict{Rollback}, now: expired - 1, want: Rollback},
		"own rollback, old":          {quorum: 1, own: Rollback, now: 10 * expired, want: Rollback},
	} {
		settings := testSettings()
		settings.RollbackQuorum = tc.quorum
		r := recommendations{self: 0, settings: settings}
		ownPosition := rollout
		if tc.ownOtherStage {
			ownPosition = otherStage
		}
		if tc.own != NoVote {
			r.put(0, ownPosition.decision(tc.own), second)
		}
		for i, verdict := range tc.others {
			r.put(i+1, rollout.decision(verdict), second)
		}
		if got := r.verdict(rollout, tc.now); got != tc.want {
			t.Errorf("%s: got the verdict %v, want %v", name, got, tc.want)
		}
	}
}

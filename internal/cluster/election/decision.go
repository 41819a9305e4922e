package election

// Verdict is what a vote on a release asks the rollout controller to do.
type Verdict uint8

// The verdicts. NoVote means that there is no verdict.
const (
	NoVote Verdict = iota
	Advance
	Hold
	Rollback
)

func (v Verdict) String() string { return [...]string{"none", "advance", "hold", "rollback"}[v] }

// Decision is a verdict on one stage of one build.
type Decision struct {
	Build, Stage int32
	Verdict      Verdict
}

func (d Decision) isSameStage(other Decision) bool {
	return d.Build == other.Build && d.Stage == other.Stage
}

// Record is an entry of the vote log. A quorum must know the record before the record's decision is cast as a vote.
type Record struct {
	Term  uint64 // the ballot that elected the leader that wrote the record
	Index uint32 // rises with each record that the leader writes
	Decision
	// Prior is another verdict that the same leader has cast on this build and stage. The vote with that verdict may still count
	// if no later vote has taken effect. NoVote means that there is none.
	Prior Verdict
}

func (r Record) isNewerThan(other Record) bool { return r.revision().isAfter(other.revision()) }

func (r Record) revision() revision { return revision{r.Term, r.Index} }

// DurableState is the state that a replica must keep across restarts. A replica that restarts with its durable state may take
// part at once.
type DurableState struct {
	Promised, Accepted, Released uint64 // the highest ballots promised, accepted and released
	LeaseHolder                  int32  // the replica whose lease was accepted; -1: none
	Newest                       Record // the newest known record of any leader
	Members                      Members
}

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

// Record is an entry of the vote log. A quorum must know it before its decision is cast as a vote.
type Record struct {
	Term  uint64 // the ballot by which the leader that wrote the record got the leadership
	Index uint32
	Decision
	// Prior is another verdict that the same leader has cast on this build and stage. It may still count if no later vote has
	// taken effect. NoVote means that there is none.
	Prior Verdict
}

func (r Record) isNewerThan(other Record) bool { return r.revision().isAfter(other.revision()) }

func (r Record) revision() revision { return revision{r.Term, r.Index} }

// DurableState is the state that a replica must keep across restarts. A replica that restarts with it may take part at once.
type DurableState struct {
	Promised, Accepted, Released uint64
	LeaseHolder                  int32
	Newest                       Record
	Members                      Members
}

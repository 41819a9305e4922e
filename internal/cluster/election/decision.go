package election

// Verdict of a vote on a release.
type Verdict uint8

// The verdicts; NoVote is the absence of one.
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

// Record is an entry of the vote log: a decision that a quorum has to know before it is cast.
type Record struct {
	Term  uint64 // the ballot by which its leader got the leadership
	Index uint32
	Decision
	// Prior is another verdict that the same leader has cast on this build and stage and that may still count, in case no later
	// vote took effect.
	Prior Verdict
}

func (r Record) isNewerThan(other Record) bool { return r.revision().isAfter(other.revision()) }

func (r Record) revision() revision { return revision{r.Term, r.Index} }

// DurableState is what a replica must not forget: one that restarts with it may take part at once.
type DurableState struct {
	Promised, Accepted, Released uint64
	LeaseHolder                  int32
	Newest                       Record
	Members                      Members
}

package election

// Status is the state that operators ask for.
type Status struct {
	IsLeader             bool
	LeaseRemaining       Micros
	Term                 uint64 // 0: this replica does not lead
	Newest               Record
	HasUnresolvedVote    bool
	LeaseHolder          int // whose lease this replica has accepted; -1: nobody's
	Members              Members
	AbstainsFor          Micros // how much longer
	EarlierVotesExpireIn Micros // how much longer votes of an earlier leader may count
}

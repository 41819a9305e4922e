package election

// Status is the state of a replica as reported to operators.
type Status struct {
	IsLeader             bool
	LeaseRemaining       Micros
	Term                 uint64 // 0: this replica does not lead
	Newest               Record
	HasUnresolvedVote    bool
	LeaseHolder          int // the replica whose lease this replica has accepted; -1: none is in force
	Members              Members
	AbstainsFor          Micros // how much longer the replica abstains
	EarlierVotesExpireIn Micros // how much longer votes of earlier leaders may count; 0 if this replica does not lead
}

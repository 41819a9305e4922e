package election

// Kind is the type of a message.
type Kind uint8

// The kinds of messages.
const (
	Prepare          Kind = iota + 1 // asks for a promise of the ballot
	Promise                          // promises the ballot, and carries the newest record that the sender knows
	Propose                          // asks for acceptance of the ballot's lease
	Accepted                         // accepts the lease
	Replicate                        // asks the receiver to store the record
	Replicated                       // acknowledges the record
	Recommend                        // carries the verdict that the sender's release analyzer recommends
	TransferLease                    // releases the lease and appoints the successor
	Nack                             // rejects a ballot; tells the candidate which higher ballot the sender has promised, or which members are in force
	CommitMembers                    // asks the receiver to store the members
	MembersCommitted                 // acknowledges the members
)

// IsValid reports whether k is one of the kinds.
func (k Kind) IsValid() bool { return k >= Prepare && k <= MembersCommitted }

// Message is sent from one replica to another. Every field is small, so a message takes up only a fraction of a datagram.
type Message struct {
	Kind   Kind
	Ballot uint64
	// ReleasedBallot of a Prepare is the ballot up to which leases were released by their holders. In a TransferLease the field
	// holds the successor's ballot; see newTransferLease and successorBallot.
	ReleasedBallot uint64
	Record         Record   // set in Promise, Accepted, Replicate, Replicated, TransferLease and CommitMembers
	Recommendation Decision // set in Recommend
	Members        Members  // newest set of members that the sender knows; set in all kinds except Recommend, Replicate and Replicated
}

// newTransferLease returns the message with which a leader releases the lease of its ballot. The leader has already promised
// successorBallot.
func newTransferLease(ballot, successorBallot uint64, newest Record) Message {
	return Message{Kind: TransferLease, Ballot: ballot, ReleasedBallot: successorBallot, Record: newest}
}

// successorBallot returns the ballot that the sender of a TransferLease has promised to its successor.
func (m Message) successorBallot() uint64 { return m.ReleasedBallot }

const (
	// ballotOwnerBits is the number of low bits of a ballot that hold the ID of the replica that owns the ballot. Because of
	// them, no two replicas use the same ballot.
	ballotOwnerBits = 8
	ballotOwnerMask = 1<<ballotOwnerBits - 1
)

// nextBallot returns the owner's ballot in the round that follows the round of another ballot.
func nextBallot(after uint64, owner int) uint64 {
	round := after>>ballotOwnerBits + 1
	return round<<ballotOwnerBits | uint64(owner)
}

func ballotOwner(ballot uint64) int { return int(ballot & ballotOwnerMask) }

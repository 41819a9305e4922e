package election

// Kind is the type of a message.
type Kind uint8

// The kinds of messages.
const (
	Prepare          Kind = iota + 1 // asks for a promise of the ballot
	Promise                          // promises the ballot, and carries the newest record that the sender knows
	Propose                          // asks to accept the lease of the ballot
	Accepted                         // accepts the lease
	Replicate                        // asks to remember the record
	Replicated                       // acknowledges the record
	Recommend                        // carries the verdict that the sender's release analyzer recommends
	TransferLease                    // releases the lease and appoints the successor
	Nack                             // rejects a ballot: names the higher one that was promised, or newer members
	CommitMembers                    // asks to remember the members
	MembersCommitted                 // acknowledges the members
)

// IsValid reports whether k is one of the kinds.
func (k Kind) IsValid() bool { return k >= Prepare && k <= MembersCommitted }

// Message from one replica to another. Every field is small, so that a message fits into a datagram many times over.
type Message struct {
	Kind   Kind
	Ballot uint64
	// ReleasedBallot, of a Prepare, is the ballot up to which leases were given up by their holders. A TransferLease has its successor's
	// ballot here: newTransferLease and successorBallot.
	ReleasedBallot uint64
	Record         Record   // of a Promise, Accepted, Replicate, Replicated, TransferLease or CommitMembers
	Recommendation Decision // of a Recommend
	Members        Members  // that the sender knows; of all kinds but Recommend, Replicate and Replicated
}

// newTransferLease makes the message by which a leader releases the lease of its ballot, having promised the successor's.
func newTransferLease(ballot, successorBallot uint64, newest Record) Message {
	return Message{Kind: TransferLease, Ballot: ballot, ReleasedBallot: successorBallot, Record: newest}
}

// successorBallot returns the ballot that the sender of a TransferLease has promised to its successor.
func (m Message) successorBallot() uint64 { return m.ReleasedBallot }

const (
	// ballotOwnerBits are the low bits of a ballot; they hold its owner's number, so that no two replicas share a ballot.
	ballotOwnerBits = 8
	ballotOwnerMask = 1<<ballotOwnerBits - 1
)

// nextBallot returns the lowest ballot of an owner in the round after that of a ballot.
func nextBallot(after uint64, owner int) uint64 {
	round := after>>ballotOwnerBits + 1
	return round<<ballotOwnerBits | uint64(owner)
}

func ballotOwner(ballot uint64) int { return int(ballot & ballotOwnerMask) }

package election

// Command is one of [SendMessage], [CastVote], [Persist] and [SelfStop]. The commands of a call have to be carried out in order. Only
// this package can add another.
type Command interface{ isCommand() }

type (
	// SendMessage sends a message to another replica. It may be lost, delayed, duplicated or reordered.
	SendMessage struct {
		To int
		Message
	}
	// CastVote writes a vote, unless the time is past WriteBefore by then: the process may have stood still in between.
	CastVote struct {
		Record
		WriteBefore Micros
	}
	// Persist has to be on stable storage, where there is any, before a later command of the same call is carried out.
	Persist struct{ DurableState }
	// SelfStop is ordered while this replica's analyzer recommends a rollback and no leader is known. With Stop the replica
	// stops its own requests to the build, which is the safe direction; without, the analyzer asks for something else or the
	// rollout has moved on, and requests may go on.
	SelfStop struct {
		Decision
		Stop bool
	}
)

func (SendMessage) isCommand() {}
func (CastVote) isCommand()    {}
func (Persist) isCommand()     {}
func (SelfStop) isCommand()    {}

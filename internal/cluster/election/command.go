package election

// Command is one of [SendMessage], [CastVote], [Persist], [SelfStop] and [ProbeController]. The commands of a call must be carried out in order.
// Other packages can't define further commands.
type Command interface{ isCommand() }

type (
	// SendMessage sends a message to another replica. The message may be lost, delayed, duplicated or reordered.
	SendMessage struct {
		To int
		Message
	}
	// CastVote sends a vote to the rollout controller, unless the replica's clock has reached WriteBefore. The clock has to be
	// checked just before the vote is written, because the process may have been paused since the command was issued.
	CastVote struct {
		Record
		WriteBefore Micros
	}
	// Persist stores the durable state. The state must be on stable storage, if there is any, before a later command of the
	// same call is carried out.
	Persist struct{ DurableState }
	// SelfStop stops or resumes the requests of this replica's own agent to a build. With Stop set, the agent stops the requests,
	// because its analyzer recommends a rollback and no leader is known; stopping is the safe direction. Without Stop, the
	// requests may resume, because the analyzer recommends something else or the rollout has moved on.
	SelfStop struct {
		Decision
		Stop bool
	}
	// ProbeController makes a call to the rollout controller that changes nothing. If the controller answers, the replica is told by
	// ControllerAnswered.
	ProbeController struct{}
)

func (SendMessage) isCommand() {}
func (CastVote) isCommand()    {}
func (Persist) isCommand()     {}
func (SelfStop) isCommand()    {}

func (ProbeController) isCommand() {}

package simprotocol

import "switchfork/internal/policy"

// eventKind is the first byte of a record that the simulator sends.
type eventKind byte

// commandKind is the first byte of a record sent to the simulator. Its numbering is independent of eventKind's.
type commandKind byte

// The kinds of events.
const (
	kindInstanceStarted   eventKind = 0
	kindEndpointUpdate    eventKind = 1
	kindRequestArrived    eventKind = 2
	kindResponseStarted   eventKind = 3
	kindAttemptResult     eventKind = 4
	kindRequestCancelled  eventKind = 5
	kindTimerFired        eventKind = 6
	kindHealthCheckResult eventKind = 7
	kindGossipReceived    eventKind = 8
	kindInstanceStopped   eventKind = 9
	kindRolloutUpdate     eventKind = 10
	kindMetricsReport     eventKind = 11
	kindErrorReport       eventKind = 12
	kindEndpointList      eventKind = 13

	lastKnownKind = kindEndpointList
)

// The kinds of commands. The missing numbers are kinds that this package does not send.
const (
	kindReject         commandKind = 0
	kindLogMessage     commandKind = 1
	kindCheckHealth    commandKind = 2
	kindSetTimer       commandKind = 3
	kindSendGossip     commandKind = 4
	kindPanicked       commandKind = 5
	kindCancelAttempt  commandKind = 7
	kindVote           commandKind = 8
	kindSendAttempt    commandKind = 10
	kindWatchEndpoints commandKind = 11
	kindFail           commandKind = 12
)

// Kinds of endpoint updates. The list of either full kind replaces all endpoints that the instance knows.
const (
	updateChanges    = 0
	updateFull       = 1
	updateFullCached = 2
	updateFailed     = 3 // the call to discovery failed and returned no list
)

// Flags of an arriving request.
const (
	requestHasCostHint = 1 << 0
	requestIsRetry     = 1 << 1
)

// outcomesByCode maps the protocol's codes to the outcomes of attempts, health checks and votes.
var outcomesByCode = map[int]policy.Outcome{
	100: policy.OK,
	301: policy.ServerError,
	302: policy.Rejected,
	303: policy.TimedOut,
	304: policy.ConnectFailed,
	305: policy.ConnectionLost,
	306: policy.Cancelled,
	307: policy.NotAttempted,
}

var phasesByCode = []policy.Phase{policy.Evaluating, policy.RollingBack, policy.Released, policy.RolledBack}

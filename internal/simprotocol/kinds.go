package simprotocol

import "switchfork/internal/policy"

// recordKind is the first byte of a record. Events and commands are numbered apart.
type recordKind byte

// Kinds of records that the simulator sends.
const (
	kindInstanceStarted   recordKind = 0
	kindEndpointUpdate    recordKind = 1
	kindRequestArrived    recordKind = 2
	kindResponseStarted   recordKind = 3
	kindAttemptResult     recordKind = 4
	kindRequestCancelled  recordKind = 5
	kindTimerFired        recordKind = 6
	kindHealthCheckResult recordKind = 7
	kindGossipReceived    recordKind = 8
	kindInstanceStopped   recordKind = 9
	kindRolloutUpdate     recordKind = 10
	kindMetricsReport     recordKind = 11
	kindErrorReport       recordKind = 12
	kindEndpointList      recordKind = 13

	lastKnownKind = kindEndpointList
)

// Kinds of records that answer them. Numbers that are missing are not used here.
const (
	kindReject         recordKind = 0
	kindLogMessage     recordKind = 1
	kindCheckHealth    recordKind = 2
	kindSetTimer       recordKind = 3
	kindSendGossip     recordKind = 4
	kindPanicked       recordKind = 5
	kindCancelAttempt  recordKind = 7
	kindVote           recordKind = 8
	kindSendAttempt    recordKind = 10
	kindWatchEndpoints recordKind = 11
	kindFail           recordKind = 12
)

// Kinds of endpoint updates. The lists of the two full kinds replace all that the instance knew.
const (
	updateChanges    = 0
	updateFull       = 1
	updateFullCached = 2
	updateFailed     = 3 // no list came
)

// Flags of an arriving request.
const (
	requestHasCostHint = 1 << 0
	requestIsRetry     = 1 << 1
)

// outcomesByCode holds the outcomes of attempts, health checks and votes.
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

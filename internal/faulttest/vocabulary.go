package faulttest

// Transports by which agents reach each other.
const (
	transportTCP       = "tcp" // streams of the leader election
	transportDatagrams = "datagrams"
	transportNone      = "none"
)

// Servers that agents call.
const (
	serverDiscovery = "discovery"
	serverRollout   = "rollout-controller"
)

// Health of an endpoint in the endpoint list.
const (
	healthActive   = "active"
	healthDraining = "leaving"
	healthRemoved  = "left"
)

// Phases of a rollout.
const (
	phaseTesting   = "testing"
	phaseRecalling = "recalling"
	phaseLive      = "live"
	phaseRecalled  = "recalled"
)

var rolloutPhases = []string{phaseTesting, phaseRecalling, phaseLive, phaseRecalled}

// Recommendations that an agent may vote for, as records.json has them.
const (
	recommendAdvance  = "on"
	recommendRollback = "back"
	recommendHold     = "hold"
	recommendNone     = "none"
)

// What a reload may change, apart from the addresses of servers.
const (
	reloadOperator  = "operator"
	reloadPeer      = "peer"
	reloadMalformed = "malformed"
)

// Changes of the election's members.
const (
	memberAdd    = "add"
	memberRemove = "remove"
)

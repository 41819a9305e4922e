package faulttest

// Transports by which agents reach each other.
const (
	transportTCP       = "tcp" // for the streams of the leader election only
	transportDatagrams = "datagrams"
	transportNone      = "none"
)

// Servers that agents call.
const (
	serverDiscovery = "discovery"
	serverRollout   = "rollout-controller"
)

// Values for the health of an endpoint in the endpoint list.
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

// Recommendations that an agent may vote for, as they are written to records.json.
const (
	recommendAdvance  = "on"
	recommendRollback = "back"
	recommendHold     = "hold"
	recommendNone     = "none"
)

// What a reload step may change, besides the address of a server.
const (
	reloadOperator  = "operator"
	reloadPeer      = "peer"
	reloadMalformed = "malformed"
)

// Changes of the leader election's members.
const (
	memberAdd    = "add"
	memberRemove = "remove"
)

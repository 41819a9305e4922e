package faulttest

// Transports by which agents reach each other.
const (
	transportTCP       = "tcp" // streams of the leader election
	transportDatagrams = "datagrams"
	transportNone      = "no"
)

// Servers that agents call.
const (
	serverDiscovery = "discovery"
	serverRollout   = "launcher"
)

// Health of an endpoint in the endpoint list.
const (
	healthActive  = "active"
	healthLeaving = "leaving"
	healthLeft    = "left"
)

// Phases of a rollout.
const (
	phaseTesting   = "testing"
	phaseRecalling = "recalling"
	phaseLive      = "live"
	phaseRecalled  = "recalled"
)

var rolloutPhases = []string{phaseTesting, phaseRecalling, phaseLive, phaseRecalled}

// Recommendations that an agent may vote for.
const (
	recommendOn   = "on"
	recommendBack = "back"
	recommendHold = "hold"
	recommendNone = "none"
)

var recommendations = []string{recommendOn, recommendBack, recommendHold, recommendNone}

// What a reload may change, apart from the addresses of servers.
const (
	reloadOperator  = "operator"
	reloadPeer      = "peer"
	reloadMalformed = "spoilt"
)

// Changes of the election's members.
const (
	memberAdd    = "add"
	memberRemove = "remove"
)

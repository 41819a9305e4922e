package fakes

import (
	"fmt"
	"strings"
	"text/template"
	"time"
)

// AgentConfig holds the settings that differ between the agents of tests. The limits of the protocol are the same for all agents.
// File returns the configuration in the protocol's form.
type AgentConfig struct {
	Index    int // index of the agent, from 0
	Agents   int // number of agents
	Build    int // the released build if Initial.Rollout is empty
	MemoryMB int

	Addresses AgentAddresses
	Peers     PeerAddresses // zero: the agents do not communicate
	Initial   InitialState
	Requests  RequestSettings
}

// AgentAddresses holds the address on which an agent listens for clients, and the addresses of the servers that it calls.
type AgentAddresses struct {
	Listen    string
	Discovery string
	Rollout   string
}

// PeerAddresses holds the address at which an agent receives datagrams of the other agents, and the addresses to which it sends.
type PeerAddresses struct {
	Listen    string
	Peers     []string // indexed by agent; none: the agents do not communicate
	Broadcast string   // reaches all agents at once; empty: none
}

// InitialState is what an agent knows before it has called any server.
type InitialState struct {
	Endpoints string // the endpoint list, see ListDocument
	Rollout   string // the rollout state, see RolloutJSON; empty: AgentConfig.Build was released releasedAge ago
}

// RequestSettings holds what an agent knows about the requests of its clients.
type RequestSettings struct {
	Tenants          []Tenant
	LatencyObjective time.Duration
	Timeout          time.Duration
	HasNonIdempotent bool // there is a request class that must never run twice
}

// Tenant is a tenant with its share of the agent's capacity.
type Tenant struct {
	Name  string
	Share float64
}

const (
	// releasedAge is the time since the build's release if no rollout state is given.
	releasedAge = 90 * time.Second
	// lastStage is the last stage of a rollout.
	lastStage = 2
	// firstSeed is the seed of the first agent.
	firstSeed = uint64(0x8c1f30d27a5be964)
	// seedSpacing is the difference between the seeds of successive agents.
	seedSpacing = uint64(0x9e3779b97f4a7c15)
)

// fileTemplate is the template of the configuration file, and the only place with the protocol's names of the settings. Numbers have
// the form in which the platform writes them.
var fileTemplate = template.Must(template.New("config").Parse(
	`{"name":"n{{.Index}}",{{.PeerSettings}}"listen":{{printf "%q" .Addresses.Listen}},"discovery":{{printf "%q" .Addresses.Discovery}},` +
		`"seed":"{{printf "%016x" .Seed}}","limits":{"cores":1.0,"memory_mb":{{.MemoryMB}},
"sockets":1024},"platform":{"address":{{printf "%q" .Addresses.Rollout}},"news":{{.InitialRollout}}},"known":{{.InitialEndpoints}},
"settings":{"Me":{{.Index}},"Balancers":{{.Agents}},"Zone":0,"Discovery":"automatic","Localities":["suva"],"Grades":[
{"Name":"lookup","Repeat":"read_like",{{.ClassTimes}},"Worth":1.0},
{"Name":"posting","Repeat":"idempotency_key","KeyScope":"all","WindowMs":{{.DedupWindow.Milliseconds}},` +
		`{{.ClassTimes}},"Worth":5.0}{{if .Requests.HasNonIdempotent}},
{"Name":"fee","Repeat":"non_idempotent",{{.ClassTimes}},"Worth":2.0}{{end}}],
"Parties":[{{.TenantList}}],"Feedback":{"How":"off"},"FamilyInfo":{"StageCap":[0.2,0.6,1.0],"StageShare":[0.1,0.4,1.0],"Shielded":1,
"Swap":"beside",{{.VotingSettings}},{{.CapSettings}},"CountedBy":"all"},"Safety":{{.SafetySettings}},` +
		`"Limits":{"MaxAttempts":3,"DialTimeoutMs":250.0,
"ConnIdleMs":30000.0,"RetryAfter":true,"MaxRetryAfterMs":2000.0,"OpenCap":1000,"Probes":true,"MayTell":{{.HasPeers}}}}}`))

// fileValues provides the values that fileTemplate refers to: the fields of a configuration, and methods that return its parts in the
// protocol's form.
type fileValues struct{ AgentConfig }

// File returns the configuration file.
func (c AgentConfig) File() string {
	var file strings.Builder
	if err := fileTemplate.Execute(&file, fileValues{c}); err != nil {
		panic(err) // an error in the template, since the builder does not fail
	}
	return file.String()
}

// Seed returns the agent's seed, which differs from those of the other agents.
func (v fileValues) Seed() uint64 { return firstSeed + uint64(v.Index)*seedSpacing }

// HasPeers reports whether the agents communicate.
func (v fileValues) HasPeers() bool { return len(v.Peers.Peers) > 0 }

// PeerSettings returns the keys that only an agent with peers has.
func (v fileValues) PeerSettings() string {
	if !v.HasPeers() {
		return ""
	}
	settings := fmt.Sprintf(`"peer_listen":%q,"peers":["%s"],`, v.Peers.Listen, strings.Join(v.Peers.Peers, `","`))
	if v.Peers.Broadcast != "" {
		settings += fmt.Sprintf(`"peers_all":%q,`, v.Peers.Broadcast)
	}
	return settings
}

// InitialEndpoints returns the endpoint list that the agent starts with.
func (v fileValues) InitialEndpoints() string { return strings.TrimSpace(v.Initial.Endpoints) }

// InitialRollout returns the rollout state that the agent starts with.
func (v fileValues) InitialRollout() string {
	if v.Initial.Rollout != "" {
		return v.Initial.Rollout
	}
	return RolloutJSON(v.Build, lastStage, "live", 1, releasedAge)
}

// TenantList returns the entries of the tenants.
func (v fileValues) TenantList() string {
	var entries []string
	for _, tenant := range v.Requests.Tenants {
		entries = append(entries, fmt.Sprintf(`{"Name":%q,"Fraction":%g}`, tenant.Name, tenant.Share))
	}
	return strings.Join(entries, ",")
}

// ClassTimes returns the latency objective and the timeout of a request class.
func (v fileValues) ClassTimes() string {
	objective, timeout := v.Requests.LatencyObjective.Milliseconds(), v.Requests.Timeout.Milliseconds()
	return fmt.Sprintf(`"SloMs":%g,"HardLimitMs":%g`, float64(objective), float64(timeout))
}

// DedupWindow returns how long endpoints recognize an idempotency key.
func (fileValues) DedupWindow() time.Duration { return DedupWindow }

// VotingSettings returns how votes on a build are counted.
func (fileValues) VotingSettings() string {
	return fmt.Sprintf(`"VoteStandsMs":%d,"CallTimeoutMs":%d,"ApiRate":50.0,"VoteMode":"any","VotesToGo":1,"NoesNeeded":1`,
		VoteLifetime.Milliseconds(), CallTimeout.Milliseconds())
}

// CapSettings returns how requests are counted against the traffic cap of a canary build.
func (fileValues) CapSettings() string {
	return fmt.Sprintf("\n"+`"CountedOverMs":%d,"Allowance":%d`, CapWindow.Milliseconds(), CapAllowance)
}

// SafetySettings returns the slow start and overload limits of endpoints, and the grace periods after a drain and after a deadline.
func (fileValues) SafetySettings() string {
	return fmt.Sprintf(`{"ColdFrom":%g,"ColdMs":%d,"TipMultiple":%g,`+"\n"+`"TipAfterMs":%d,"DrainGraceMs":%d,"GraceToAnswerMs":%d}`,
		InitialCapacity, SlowStartDuration.Milliseconds(), OverloadMultiple,
		OverloadAfter.Milliseconds(), DrainGrace.Milliseconds(), AnswerGrace.Milliseconds())
}

package fakes

import (
	"fmt"
	"strings"
	"text/template"
	"time"
)

// AgentConfig is what differs between the agents of tests. The constants below are the same for all.
type AgentConfig struct {
	Index, Agents, Build, MemoryMB        int
	Listen, Discovery, Rollout, Endpoints string // Endpoints is a document of the list, known from the start
	PeerListen, PeersAll                  string
	Peers                                 []string // none: the agents don't communicate
	Tenants                               []string
	Shares                                []float64
	LatencyObjective, Timeout             time.Duration
	RolloutState                          string // in JSON, see RolloutJSON; empty: the build has long been released
	HasNonIdempotent                      bool   // there is a request class that must never run twice
}

const (
	// VoteLifetime is how long a vote counts.
	VoteLifetime = 4 * time.Second
	// CallTimeout of the rollout controller's interface.
	CallTimeout = 800 * time.Millisecond
	// DrainGrace is how long after an agent was notified of a drain it may still send requests to the endpoint.
	DrainGrace = time.Second
	// CapWindow is the period over which the requests to a build on trial are counted against its traffic cap.
	CapWindow = 4 * time.Second
	// CapAllowance is the number of requests above the traffic cap that is allowed in a window.
	CapAllowance = 3
	// DedupWindow is how long endpoints recognize an idempotency key.
	DedupWindow = 8 * time.Second
	// AnswerGrace is how long after its deadline a request may still be answered.
	AnswerGrace = 20 * time.Millisecond
	// InitialCapacity is the part of its capacity that a new endpoint has.
	InitialCapacity = 0.3
	// SlowStartDuration is the time until a new endpoint has its full capacity.
	SlowStartDuration = 3 * time.Second
	// OverloadMultiple of its capacity makes an endpoint fail if it lasts for OverloadAfter.
	OverloadMultiple = 2.0
	// OverloadAfter is how long an endpoint stands an overload.
	OverloadAfter = 1500 * time.Millisecond
)

const (
	// releasedAge of the build, where no state of a rollout is given.
	releasedAge = 90 * time.Second
	// firstSeed and seedSpacing give each agent a seed of its own.
	firstSeed   = uint64(0x8c1f30d27a5be964)
	seedSpacing = uint64(0x9e3779b97f4a7c15)
)

// configTemplate is the configuration file. Numbers have the form that the platform writes.
var configTemplate = template.Must(template.New("config").Parse(
	`{"name":"n{{.Index}}",{{.PeerSettings}}"listen":{{printf "%q" .Listen}},"discovery":{{printf "%q" .Discovery}},` +
		`"seed":"{{printf "%016x" .Seed}}","limits":{"cores":1.0,"memory_mb":{{.MemoryMB}},
"sockets":1024},"platform":{"address":{{printf "%q" .Rollout}},"news":{{.RolloutState}}},"known":{{.Endpoints}},
"settings":{"Me":{{.Index}},"Balancers":{{.Agents}},"Zone":0,"Discovery":"automatic","Localities":["suva"],"Grades":[
{"Name":"lookup","Repeat":"read_like","SloMs":{{.ObjectiveMillis}},"HardLimitMs":{{.TimeoutMillis}},"Worth":1.0},
{"Name":"posting","Repeat":"idempotency_key","KeyScope":"all","WindowMs":{{.DedupWindow.Milliseconds}},` +
		`"SloMs":{{.ObjectiveMillis}},"HardLimitMs":{{.TimeoutMillis}},"Worth":5.0}{{if .HasNonIdempotent}},
{"Name":"fee","Repeat":"non_idempotent","SloMs":{{.ObjectiveMillis}},"HardLimitMs":{{.TimeoutMillis}},"Worth":2.0}{{end}}],
"Parties":[{{.TenantList}}],"Feedback":{"How":"off"},"FamilyInfo":{"StageCap":[0.2,0.6,1.0],"StageShare":[0.1,0.4,1.0],"Shielded":1,
"Swap":"beside","VoteStandsMs":{{.VoteLifetime.Milliseconds}},"CallTimeoutMs":{{.CallTimeout.Milliseconds}},"ApiRate":50.0,` +
		`"VoteMode":"any","VotesToGo":1,"NoesNeeded":1,
"CountedOverMs":{{.CapWindow.Milliseconds}},"Allowance":{{.CapAllowance}},"CountedBy":"all"},` +
		`"Safety":{"ColdFrom":{{.InitialCapacity}},"ColdMs":{{.SlowStartDuration.Milliseconds}},"TipMultiple":{{.OverloadMultiple}},
"TipAfterMs":{{.OverloadAfter.Milliseconds}},"DrainGraceMs":{{.DrainGrace.Milliseconds}},"GraceToAnswerMs":{{.AnswerGrace.Milliseconds}}},` +
		`"Limits":{"MaxAttempts":3,"DialTimeoutMs":250.0,
"ConnIdleMs":30000.0,"RetryAfter":true,"MaxRetryAfterMs":2000.0,"OpenCap":1000,"Probes":true,"MayTell":{{.HasPeers}}}}}`))

// configValues are the values that configTemplate refers to.
type configValues struct {
	AgentConfig
	Seed                           uint64
	PeerSettings, TenantList       string
	ObjectiveMillis, TimeoutMillis string
	HasPeers                       bool

	VoteLifetime, CallTimeout, DrainGrace, CapWindow time.Duration
	DedupWindow, AnswerGrace, SlowStartDuration      time.Duration
	OverloadAfter                                    time.Duration
	CapAllowance                                     int
	InitialCapacity, OverloadMultiple                string
}

// File returns the configuration file.
func (c AgentConfig) File() string {
	if c.RolloutState == "" {
		c.RolloutState = RolloutJSON(c.Build, 2, "live", 1, releasedAge)
	}
	c.Endpoints = strings.TrimSpace(c.Endpoints)
	values := configValues{
		AgentConfig:     c,
		Seed:            firstSeed + uint64(c.Index)*seedSpacing,
		PeerSettings:    c.peerSettings(),
		TenantList:      c.tenantList(),
		ObjectiveMillis: formatNumber(float64(c.LatencyObjective.Milliseconds())),
		TimeoutMillis:   formatNumber(float64(c.Timeout.Milliseconds())),
		HasPeers:        len(c.Peers) > 0,

		VoteLifetime: VoteLifetime, CallTimeout: CallTimeout, DrainGrace: DrainGrace, CapWindow: CapWindow,
		DedupWindow: DedupWindow, AnswerGrace: AnswerGrace, SlowStartDuration: SlowStartDuration,
		OverloadAfter: OverloadAfter, CapAllowance: CapAllowance,
		InitialCapacity: formatNumber(InitialCapacity), OverloadMultiple: formatNumber(OverloadMultiple),
	}
	var file strings.Builder
	if err := configTemplate.Execute(&file, values); err != nil {
		panic(err) // a fault in the template: the builder doesn't fail
	}
	return file.String()
}

// peerSettings returns the keys that only an agent with peers has.
func (c AgentConfig) peerSettings() string {
	if len(c.Peers) == 0 {
		return ""
	}
	settings := fmt.Sprintf(`"peer_listen":%q,"peers":["%s"],`, c.PeerListen, strings.Join(c.Peers, `","`))
	if c.PeersAll != "" {
		settings += fmt.Sprintf(`"peers_all":%q,`, c.PeersAll)
	}
	return settings
}

func (c AgentConfig) tenantList() string {
	var tenants []string
	for i, name := range c.Tenants {
		tenants = append(tenants, fmt.Sprintf(`{"Name":%q,"Fraction":%g}`, name, c.Shares[i]))
	}
	return strings.Join(tenants, ",")
}

func formatNumber(number float64) string { return fmt.Sprintf("%g", number) }

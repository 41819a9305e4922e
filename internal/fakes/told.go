package fakes

import (
	"fmt"
	"strings"
	"time"
)

// AgentConfig is what an agent is told by its configuration. Times of a vote, a drain and the cap's window are the same in all worlds.
type AgentConfig struct {
	Index, Agents, Build, MemoryMB        int
	Listen, Discovery, Rollout, Endpoints string
	PeerListen, PeersAll                  string
	Peers                                 []string // none: agents may say nothing to each other
	Tenants                               []string
	Shares                                []float64
	LatencyObjective, Timeout             time.Duration
	RolloutState                          string // what the launcher last told, in JSON; empty: the build has long been released
	HasNonIdempotent                      bool   // there is a product that must never run twice
}

// The figures that every world's agents are told, for those who judge by them.
const (
	VoteLifetime, CallTimeout, DrainGrace, CapWindow = 4 * time.Second, 800 * time.Millisecond, time.Second, 4 * time.Second
	DedupWindow, AnswerGrace                         = 8 * time.Second, 20 * time.Millisecond
	CapAllowance                                     = 3
	// A cold appliance begins with ColdFrom of its speed and is warm after ColdFor; sent TipMultiple of what it can do for TipAfter, it falls over.
	InitialCapacity, OverloadMultiple = 0.3, 2.0
	SlowStartDuration, OverloadAfter  = 3 * time.Second, 1500 * time.Millisecond
)

// RolloutJSON is where a build stands, as a configuration has it.
func RolloutJSON(image, ring int, progress string, ceiling float64, lag time.Duration) string {
	return fmt.Sprintf(`{"image":%d,"ring":%d,"progress":%q,"ceiling":%g,"lag_ms":%d}`, image, ring, progress, ceiling, lag.Milliseconds())
}

// File is the configuration.
func (t AgentConfig) File() string {
	var parties []string
	for i, name := range t.Tenants {
		parties = append(parties, fmt.Sprintf(`{"Name":%q,"Fraction":%g}`, name, t.Shares[i]))
	}
	sla, expiry := float64(t.LatencyObjective.Milliseconds()), float64(t.Timeout.Milliseconds())
	circle, once := "", ""
	if len(t.Peers) > 0 {
		circle = fmt.Sprintf(`"peer_listen":%q,"peers":["%s"],`, t.PeerListen, strings.Join(t.Peers, `","`))
		if t.PeersAll != "" {
			circle += fmt.Sprintf(`"peers_all":%q,`, t.PeersAll)
		}
	}
	if t.HasNonIdempotent {
		once = fmt.Sprintf(`,
{"Name":"fee","Repeat":"non_idempotent","SloMs":%g,"HardLimitMs":%g,"Worth":2.0}`, sla, expiry)
	}
	news := t.RolloutState
	if news == "" {
		news = RolloutJSON(t.Build, 2, "live", 1, 90*time.Second)
	}
	return fmt.Sprintf(`{"name":"n%d",%s"listen":%q,"discovery":%q,"seed":"%016x","limits":{"cores":1.0,"memory_mb":%d,
"sockets":1024},"platform":{"address":%q,"news":%s},"known":%s,
"settings":{"Me":%d,"Balancers":%d,"Zone":0,"Discovery":"automatic","Localities":["suva"],"Grades":[
{"Name":"lookup","Repeat":"read_like","SloMs":%g,"HardLimitMs":%g,"Worth":1.0},
{"Name":"posting","Repeat":"idempotency_key","KeyScope":"all","WindowMs":%d,"SloMs":%g,"HardLimitMs":%g,"Worth":5.0}%s],
"Parties":[%s],"Feedback":{"How":"off"},"FamilyInfo":{"StageCap":[0.2,0.6,1.0],"StageShare":[0.1,0.4,1.0],"Shielded":1,
"Swap":"beside","VoteStandsMs":%d,"CallTimeoutMs":%d,"ApiRate":50.0,"VoteMode":"any","VotesToGo":1,"NoesNeeded":1,
"CountedOverMs":%d,"Allowance":%d,"CountedBy":"all"},"Safety":{"ColdFrom":%g,"ColdMs":%d,"TipMultiple":%g,
"TipAfterMs":%d,"DrainGraceMs":%d,"GraceToAnswerMs":%d},"Limits":{"MaxAttempts":3,"DialTimeoutMs":250.0,
"ConnIdleMs":30000.0,"RetryAfter":true,"MaxRetryAfterMs":2000.0,"OpenCap":1000,"Probes":true,"MayTell":%t}}}`,
		t.Index, circle, t.Listen, t.Discovery, uint64(0x8c1f30d27a5be964)+uint64(t.Index)*0x9e3779b97f4a7c15, t.MemoryMB, t.Rollout, news, strings.TrimSpace(t.Endpoints),
		t.Index, t.Agents, sla, expiry, DedupWindow.Milliseconds(), sla, expiry, once, strings.Join(parties, ","),
		VoteLifetime.Milliseconds(), CallTimeout.Milliseconds(), CapWindow.Milliseconds(), CapAllowance,
		InitialCapacity, SlowStartDuration.Milliseconds(), OverloadMultiple, OverloadAfter.Milliseconds(), DrainGrace.Milliseconds(), AnswerGrace.Milliseconds(), circle != "")
}

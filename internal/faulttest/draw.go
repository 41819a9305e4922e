package faulttest

import (
	"fmt"
	"math/rand"
	"strings"
)

// Bounds of what DrawScenario draws.
const (
	maxDrawnAgents    = 8
	minDrawnEndpoints = 3
	maxDrawnEndpoints = 24
	// drawnRequestsPerSecond is the rate of the open load at all agents together.
	drawnRequestsPerSecond = 160
	// minDrawnClients and maxDrawnClients bound the number of closed-load clients at all agents together.
	minDrawnClients = 120
	maxDrawnClients = 300
	// closedLoadOneIn sets how many scenarios have a closed load: on average, one in this number.
	closedLoadOneIn = 4
	drawnEvents     = 4
	drawnBuild      = 7
	canaryBuild     = 8
	// maxResetBytes is less than the size of a request, so that the next request on each connection is reset.
	maxResetBytes = 150
)

// drawer generates the lines of a random scenario.
type drawer struct {
	random            *rand.Rand
	lines             []string
	agents, endpoints int
}

// DrawScenario returns the text of a random scenario that is drawn from a seed. It has a deployment, a load with clients of all kinds, faults,
// changes of the endpoint list and planned restarts. The text is in the former notation (see formerWords), so that a seed from an earlier
// report still gives the same text. Apart from the rules that hold in every run, the scenario expects only that requests were sent, so that
// any violation is a fault of the agent.
func DrawScenario(seed int64) string {
	d := &drawer{random: rand.New(rand.NewSource(seed))}
	d.agents = 1 + d.random.Intn(maxDrawnAgents)
	d.endpoints = minDrawnEndpoints + d.random.Intn(maxDrawnEndpoints-minDrawnEndpoints+1)
	d.add("# drawn from seed %d", seed)
	d.add("agents %d", d.agents)
	d.add("appliances %d slots=%d work=%dms", d.endpoints, 2+d.random.Intn(8), 2+d.random.Intn(10))
	d.add("seed %d", seed%(1<<31))
	d.drawLoad()
	at := 0.5
	for range drawnEvents {
		at += 0.3 + d.random.Float64()
		d.drawEvent(at)
	}
	at += 0.5
	d.drawRestart(at)
	d.add("+1s load 0")
	d.add("+0s crowd 0")
	d.add("expect offered >= 1")
	return strings.Join(d.lines, "\n") + "\n"
}

func (d *drawer) add(format string, args ...any) {
	d.lines = append(d.lines, fmt.Sprintf(format, args...))
}

func (d *drawer) share(most float64) float64 { return float64(int(d.random.Float64()*most*100)) / 100 }

func (d *drawer) drawLoad() {
	rate := max(5, drawnRequestsPerSecond/d.agents)
	d.add("0s load %d posting=%.2f once=%.2f pieces=%.2f leave=%.2f short=%.2f", rate, d.share(0.4), d.share(0.3), d.share(0.2), d.share(0.1), d.share(0.1))
	if d.random.Intn(closedLoadOneIn) == 0 {
		clients := (minDrawnClients + d.random.Intn(maxDrawnClients-minDrawnClients+1)) / d.agents
		d.add("0s crowd %d pause=%dms", clients, 100+d.random.Intn(400))
	}
}

// drawEvent draws one fault or change. Faults on links are put on the links of all agents, so that each fault has an effect. They are
// healed, except for the delay of the endpoint list.
func (d *drawer) drawEvent(at float64) {
	endpoint, agent := d.random.Intn(d.endpoints), d.random.Intn(d.agents)
	step := func(format string, args ...any) { d.add("%.2fs "+format, append([]any{at}, args...)...) }
	switch d.random.Intn(11) {
	case 0:
		step("work %d appliance:%d", 3+d.random.Intn(20), endpoint)
	case 1:
		step("fail %.2f appliance:%d", 0.2+d.share(0.8), endpoint)
	case 2:
		step("slow %dms~%dms agents <-> appliances", 20+d.random.Intn(100), d.random.Intn(20))
		d.add("+1s heal agents <-> appliances")
	case 3:
		step("reset %d agents -> appliances", 1+d.random.Intn(maxResetBytes))
		d.add("+1s heal agents -> appliances")
	case 4:
		step("drop agents -> appliance:%d", endpoint)
		d.add("+2s heal agents -> appliance:%d", endpoint)
	case 5:
		step("drain appliance:%d", endpoint)
	case 6:
		step("gone appliance:%d", endpoint)
	case 7:
		step("add %d build=%d", 1+d.random.Intn(3), drawnBuild)
	case 8:
		step("stop agent:%d", agent)
		d.add("+%dms go agent:%d", 10+d.random.Intn(140), agent)
	case 9:
		step("add %d build=%d", 1+d.random.Intn(3), canaryBuild)
		d.add("+0s news %d 0 testing 0.2", canaryBuild)
	case 10:
		step("slow %dms discovery -> agents", 100+d.random.Intn(2000))
	}
}

// drawRestart restarts one agent or all agents at the same time, as an operator does, with reload signals before and after SIGTERM. SIGTERM is
// sent once or twice.
func (d *drawer) drawRestart(at float64) {
	who := "agents"
	if d.agents > 1 && d.random.Intn(3) > 0 {
		who = fmt.Sprintf("agent:%d", d.random.Intn(d.agents))
	}
	d.add("%.2fs mark restart", at)
	for range d.random.Intn(3) {
		d.add("+%dms reload %s %s", d.random.Intn(30), who, []string{"discovery", "launcher", "operator log-level info"}[d.random.Intn(3)])
	}
	d.add("+%dms term %s", d.random.Intn(30), who)
	if d.random.Intn(2) == 0 {
		d.add("+%dms term %s", d.random.Intn(30), who)
	}
	if d.random.Intn(2) == 0 {
		d.add("+%dms reload %s operator log-level info", d.random.Intn(30), who)
	}
	d.add("+0s start %s", who)
}

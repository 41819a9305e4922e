package election

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"switchfork/internal/golden"
)

// goldenSteps of a night: enough for leads to be lost, handed over and got again, and for members to change.
const goldenSteps = 20000

// faultScenario is a group whose messages are lost, late, doubled and out of order, whose agents stand still, restart and leave.
type faultScenario struct {
	random       *rand.Rand
	digest       *golden.Digest
	replicas     []*Replica
	persisted    []*DurableState
	isPaused     []bool
	inFlight     []envelope
	now          Micros
	commandCount int
	lastSeed     int64
}

func (g *faultScenario) startReplica(i, members int, disabled DisabledGuards) {
	g.lastSeed++
	g.replicas[i] = New(i, InitialMembers(members), g.persisted[i], testSettings, disabled, g.persisted[i] == nil && g.now > second, g.now, g.lastSeed)
	g.execute(i, g.replicas[i].UpdateRollout(g.now, 1, 0, true))
}

func (g *faultScenario) execute(i int, commands []Command) {
	for _, command := range append([]Command(nil), commands...) {
		g.commandCount++
		g.digest.Add(i)
		g.digest.Add(command)
		switch command := command.(type) {
		case Persist:
			g.persisted[i] = &command.DurableState
		case SendMessage:
			if len(g.inFlight) < maxInFlight {
				g.inFlight = append(g.inFlight, envelope{i, command.To, command.Message})
			}
		case CastVote:
			if g.random.Intn(3) > 0 {
				g.execute(i, g.replicas[i].ResolveVote(g.now, command.Record))
			}
		}
	}
}

func (g *faultScenario) deliver() {
	if len(g.inFlight) == 0 {
		return
	}
	at := 0
	if g.random.Intn(4) == 0 {
		at = g.random.Intn(len(g.inFlight))
	}
	m := g.inFlight[at]
	if g.random.Intn(20) > 0 {
		g.inFlight = append(g.inFlight[:at], g.inFlight[at+1:]...)
	}
	if !g.isPaused[m.to] && g.random.Intn(25) > 0 {
		g.execute(m.to, g.replicas[m.to].Receive(g.now, m.from, m.message))
	}
}

func (g *faultScenario) step(members int, disabled DisabledGuards) {
	who := g.random.Intn(len(g.replicas))
	switch n := g.random.Intn(1000); {
	case n < 600:
		g.deliver()
	case n < 900:
		g.now += g.random.Int63n(int64(40 * ms))
		for i, d := range g.replicas {
			g.digest.Add(d.NextTick())
			if !g.isPaused[i] && d.NextTick() <= g.now {
				g.execute(i, d.Tick(g.now))
			}
		}
	case n < 950:
		if !g.isPaused[who] {
			g.execute(who, g.replicas[who].Recommend(g.now, Decision{1, int32(g.random.Intn(2)), Verdict(g.random.Intn(4))}))
		}
	case n < 955:
		stage := int32(g.random.Intn(2))
		for i, d := range g.replicas {
			g.execute(i, d.UpdateRollout(g.now, 1, stage, g.random.Intn(8) > 0))
		}
	case n < 960:
		g.isPaused[who] = !g.isPaused[who]
	case n < 963:
		if g.random.Intn(6) == 0 {
			g.persisted[who] = nil
		}
		g.startReplica(who, members, disabled)
	case n < 967:
		g.execute(who, g.replicas[who].Leave(g.now))
	case n < 985:
		mask := g.replicas[who].Status(g.now).Members.Mask ^ 1<<g.random.Intn(len(g.replicas))
		commands, err := g.replicas[who].ChangeMembers(g.now, mask)
		g.digest.Add(fmt.Sprint(err == nil))
		g.execute(who, commands)
	default:
		for i := range g.isPaused {
			g.isPaused[i] = g.isPaused[i] && g.random.Intn(2) == 0
		}
		g.digest.Add(g.replicas[who].Status(g.now))
	}
}

// The same calls give the same orders as ever: the file's sums were made before names and shape of this package changed.
func TestGoldenDecisions(t *testing.T) {
	var out strings.Builder
	for _, members := range []int{1, 3, 5} {
		for i, disabled := range []DisabledGuards{{}, {}, {}, {LeaseExpiry: true}, {QuorumBeforeCast: true}, {WaitForEarlierVotes: true}, {Prevote: true}, {LeaseFromStart: true}} {
			g := &faultScenario{
				random: rand.New(rand.NewSource(int64(i + 1))), now: second, lastSeed: int64(i) * 1000,
				digest: golden.NewDigest(SendMessage{}, CastVote{}, Persist{}, SelfStop{}, Status{}, Micros(0), 0, ""),
			}
			g.replicas, g.persisted, g.isPaused = make([]*Replica, members+1), make([]*DurableState, members+1), make([]bool, members+1)
			for a := range g.replicas {
				g.startReplica(a, members, disabled)
			}
			for range goldenSteps {
				g.step(members, disabled)
			}
			fmt.Fprintf(&out, "members %d night %d: %d orders %s\n", members, i+1, g.commandCount, g.digest)
		}
	}
	golden.Check(t, "decisions.golden", out.String())
}

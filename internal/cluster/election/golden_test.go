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

// goldenNight is a group whose messages are lost, late, doubled and out of order, whose agents stand still, restart and leave.
type goldenNight struct {
	chance *rand.Rand
	digest *golden.Digest
	all    []*Replica
	kept   []*DurableState
	stands []bool
	bag    []mail
	now    Micros
	orders int
	seed   int64
}

func (g *goldenNight) start(i, members int, without DisabledGuards) {
	g.seed++
	g.all[i] = New(i, InitialMembers(members), g.kept[i], terms, without, g.kept[i] == nil && g.now > second, g.now, g.seed)
	g.carry(i, g.all[i].UpdateRollout(g.now, 1, 0, true))
}

func (g *goldenNight) carry(i int, orders []Command) {
	for _, o := range append([]Command(nil), orders...) {
		g.orders++
		g.digest.Add(i)
		g.digest.Add(o)
		switch o := o.(type) {
		case Persist:
			g.kept[i] = &o.DurableState
		case SendMessage:
			if len(g.bag) < bagMost {
				g.bag = append(g.bag, mail{i, o.To, o.Message})
			}
		case CastVote:
			if g.chance.Intn(3) > 0 {
				g.carry(i, g.all[i].ResolveVote(g.now, o.Record))
			}
		}
	}
}

func (g *goldenNight) deliver() {
	if len(g.bag) == 0 {
		return
	}
	at := 0
	if g.chance.Intn(4) == 0 {
		at = g.chance.Intn(len(g.bag))
	}
	m := g.bag[at]
	if g.chance.Intn(20) > 0 {
		g.bag = append(g.bag[:at], g.bag[at+1:]...)
	}
	if !g.stands[m.to] && g.chance.Intn(25) > 0 {
		g.carry(m.to, g.all[m.to].Receive(g.now, m.from, m.m))
	}
}

func (g *goldenNight) step(members int, without DisabledGuards) {
	who := g.chance.Intn(len(g.all))
	switch n := g.chance.Intn(1000); {
	case n < 600:
		g.deliver()
	case n < 900:
		g.now += Micros(g.chance.Int63n(int64(40 * ms)))
		for i, d := range g.all {
			g.digest.Add(d.NextTick())
			if !g.stands[i] && d.NextTick() <= g.now {
				g.carry(i, d.Tick(g.now))
			}
		}
	case n < 950:
		if !g.stands[who] {
			g.carry(who, g.all[who].Recommend(g.now, Decision{1, int32(g.chance.Intn(2)), Verdict(g.chance.Intn(4))}))
		}
	case n < 955:
		stage := int32(g.chance.Intn(2))
		for i, d := range g.all {
			g.carry(i, d.UpdateRollout(g.now, 1, stage, g.chance.Intn(8) > 0))
		}
	case n < 960:
		g.stands[who] = !g.stands[who]
	case n < 963:
		if g.chance.Intn(6) == 0 {
			g.kept[who] = nil
		}
		g.start(who, members, without)
	case n < 967:
		g.carry(who, g.all[who].Leave(g.now))
	case n < 985:
		mask := g.all[who].Status(g.now).Members.Mask ^ 1<<g.chance.Intn(len(g.all))
		orders, err := g.all[who].ChangeMembers(g.now, mask)
		g.digest.Add(fmt.Sprint(err == nil))
		g.carry(who, orders)
	default:
		for i := range g.stands {
			g.stands[i] = g.stands[i] && g.chance.Intn(2) == 0
		}
		g.digest.Add(g.all[who].Status(g.now))
	}
}

// The same calls give the same orders as ever: the file's sums were made before names and shape of this package changed.
func TestGoldenDecisions(t *testing.T) {
	var out strings.Builder
	for _, members := range []int{1, 3, 5} {
		for i, without := range []DisabledGuards{{}, {}, {}, {LeaseExpiry: true}, {QuorumBeforeCast: true}, {WaitForEarlierVotes: true}, {Prevote: true}, {LeaseFromStart: true}} {
			g := &goldenNight{
				chance: rand.New(rand.NewSource(int64(i + 1))), now: second, seed: int64(i) * 1000,
				digest: golden.NewDigest(SendMessage{}, CastVote{}, Persist{}, SelfStop{}, Status{}, Micros(0), 0, ""),
			}
			g.all, g.kept, g.stands = make([]*Replica, members+1), make([]*DurableState, members+1), make([]bool, members+1)
			for a := range g.all {
				g.start(a, members, without)
			}
			for range goldenSteps {
				g.step(members, without)
			}
			fmt.Fprintf(&out, "members %d night %d: %d orders %s\n", members, i+1, g.orders, g.digest)
		}
	}
	golden.Check(t, "decisions.golden", out.String())
}

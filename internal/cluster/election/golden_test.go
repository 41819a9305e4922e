package election

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"switchfork/internal/golden"
)

// goldenSteps is the number of steps in a scenario. That many steps are enough for leaders to be lost, replaced and elected
// again, and for members to change.
const goldenSteps = 20000

// faultScenario is a group of replicas under faults: messages are lost, delayed, duplicated and reordered, and replicas pause,
// restart and leave.
type faultScenario struct {
	random         *rand.Rand
	digest         *golden.Digest
	initialMembers int
	disabled       DisabledGuards

	replicas     []*Replica
	persisted    []*DurableState
	isPaused     []bool
	inFlight     []envelope
	now          Micros
	commandCount int
	lastSeed     int64
}

// newFaultScenario starts one replica more than there are initial members. number is the index of the scenario, from 0, and
// determines the seeds.
func newFaultScenario(number, initialMembers int, disabled DisabledGuards) *faultScenario {
	s := &faultScenario{
		random:         rand.New(rand.NewSource(int64(number + 1))),
		digest:         golden.NewDigest(SendMessage{}, CastVote{}, Persist{}, SelfStop{}, Status{}, Micros(0), 0, "", ProbeController{}),
		initialMembers: initialMembers,
		disabled:       disabled,
		replicas:       make([]*Replica, initialMembers+1),
		persisted:      make([]*DurableState, initialMembers+1),
		isPaused:       make([]bool, initialMembers+1),
		now:            second,
		lastSeed:       int64(number) * 1000,
	}
	for i := range s.replicas {
		s.startReplica(i)
	}
	return s
}

func (s *faultScenario) startReplica(i int) {
	s.lastSeed++
	isFresh := s.persisted[i] == nil && s.now > second
	s.replicas[i] = New(Config{
		ID:             i,
		Members:        InitialMembers(s.initialMembers),
		State:          s.persisted[i],
		Settings:       testSettings(),
		DisabledGuards: s.disabled,
		IsFresh:        isFresh,
		Now:            s.now,
		Seed:           s.lastSeed,
	})
	s.execute(i, s.replicas[i].UpdateRollout(s.now, 1, 0, true))
}

func (s *faultScenario) execute(i int, commands []Command) {
	for _, command := range append([]Command(nil), commands...) {
		s.commandCount++
		s.digest.Add(i)
		s.digest.Add(command)
		switch command := command.(type) {
		case Persist:
			s.persisted[i] = &command.DurableState
		case SendMessage:
			if len(s.inFlight) < maxInFlight {
				s.inFlight = append(s.inFlight, envelope{i, command.To, command.Message})
			}
		case CastVote:
			if s.random.Intn(3) > 0 {
				s.execute(i, s.replicas[i].ResolveVote(s.now, command.Record))
			}
		case ProbeController:
			if s.random.Intn(3) > 0 {
				s.execute(i, s.replicas[i].ControllerAnswered(s.now, s.now))
			}
		}
	}
}

func (s *faultScenario) deliver() {
	if len(s.inFlight) == 0 {
		return
	}
	index := 0
	if s.random.Intn(4) == 0 {
		index = s.random.Intn(len(s.inFlight))
	}
	next := s.inFlight[index]
	if s.random.Intn(20) > 0 {
		s.inFlight = append(s.inFlight[:index], s.inFlight[index+1:]...)
	}
	if !s.isPaused[next.to] && s.random.Intn(25) > 0 {
		s.execute(next.to, s.replicas[next.to].Receive(s.now, next.from, next.message))
	}
}

func (s *faultScenario) tick() {
	s.now += s.random.Int63n(40 * ms)
	for i, replica := range s.replicas {
		s.digest.Add(replica.NextTick())
		if !s.isPaused[i] && replica.NextTick() <= s.now {
			s.execute(i, replica.Tick(s.now))
		}
	}
}

func (s *faultScenario) recommend(i int) {
	if s.isPaused[i] {
		return
	}
	stage := int32(s.random.Intn(2))
	verdict := Verdict(s.random.Intn(4))
	s.execute(i, s.replicas[i].Recommend(s.now, Decision{Build: 1, Stage: stage, Verdict: verdict}))
}

func (s *faultScenario) updateRollout() {
	stage := int32(s.random.Intn(2))
	for i, replica := range s.replicas {
		s.execute(i, replica.UpdateRollout(s.now, 1, stage, s.random.Intn(8) > 0))
	}
}

func (s *faultScenario) restart(i int) {
	if s.random.Intn(6) == 0 {
		s.persisted[i] = nil
	}
	s.startReplica(i)
}

func (s *faultScenario) changeMember(i int) {
	mask := s.replicas[i].Status(s.now).Members.Mask ^ 1<<s.random.Intn(len(s.replicas))
	commands, err := s.replicas[i].ChangeMembers(s.now, mask)
	s.digest.Add(fmt.Sprint(err == nil))
	s.execute(i, commands)
}

func (s *faultScenario) resumeSome(observed int) {
	for i := range s.isPaused {
		s.isPaused[i] = s.isPaused[i] && s.random.Intn(2) == 0
	}
	s.digest.Add(s.replicas[observed].Status(s.now))
}

// step draws the next event at random and runs it. The golden file depends on the draws and on their order.
func (s *faultScenario) step() {
	i := s.random.Intn(len(s.replicas))
	switch n := s.random.Intn(1000); {
	case n < 600:
		s.deliver()
	case n < 900:
		s.tick()
	case n < 950:
		s.recommend(i)
	case n < 955:
		s.updateRollout()
	case n < 960:
		s.isPaused[i] = !s.isPaused[i]
	case n < 963:
		s.restart(i)
	case n < 967:
		s.execute(i, s.replicas[i].Leave(s.now))
	case n < 985:
		s.changeMember(i)
	default:
		s.resumeSome(i)
	}
}

// The same calls result in the same commands as before. The golden file was written before this package was restructured and its
// names were changed.
func TestGoldenDecisions(t *testing.T) {
	scenarios := []DisabledGuards{
		{ControllerAnswer: true},
		{ControllerAnswer: true},
		{ControllerAnswer: true},
		{ControllerAnswer: true, LeaseTimeout: true},
		{ControllerAnswer: true, QuorumBeforeCast: true},
		{ControllerAnswer: true, WaitForEarlierVotes: true},
		{ControllerAnswer: true, PromiseAfterLease: true},
		{ControllerAnswer: true, LeaseFromStart: true},
		{},
	}
	var out strings.Builder
	for _, members := range []int{1, 3, 5} {
		for number, disabled := range scenarios {
			s := newFaultScenario(number, members, disabled)
			for range goldenSteps {
				s.step()
			}
			fmt.Fprintf(&out, "members %d scenario %d: %d commands %s\n", members, number+1, s.commandCount, s.digest)
		}
	}
	golden.Check(t, "decisions.golden", out.String())
}

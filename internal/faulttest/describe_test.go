package faulttest

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"switchfork/internal/faulttest/netfault"
	"switchfork/internal/golden"
)

// The meaning of the scenario files and of the scenarios drawn from seeds 1 to 50 does not change: agents, loads, timeouts, seeds, steps and
// expectations.
func TestScenariosKeepTheirMeaning(t *testing.T) {
	files, err := filepath.Glob("scenarios/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("found no scenario files, error: %v", err)
	}
	var out strings.Builder
	for _, file := range files {
		scenario, err := ReadScenario(file)
		if err != nil {
			t.Fatal(err)
		}
		out.WriteString(describeScenario(scenario))
	}
	for seed := int64(1); seed <= 50; seed++ {
		scenario, err := ParseScenario(fmt.Sprintf("soak-%d.txt", seed), DrawScenario(seed))
		if err != nil {
			t.Fatal(err)
		}
		out.WriteString(describeScenario(scenario))
	}
	golden.Check(t, "scenario_meanings.golden", out.String())
}

// recordedWords maps words of the current code to the words in the golden file, which was recorded before the words were renamed.
var recordedWords = map[string]string{
	transportNone: "no", reloadMalformed: "spoilt", serverRollout: "launcher",
	processPause: "stop", processResume: "go", processTerminate: "term",
	measureSucceeded: "settled", measureInTime: "in-time", measureRejected: "declined", measureDuplicates: "repeats", measureLeaders: "leads",
}

func recordedWord(word string) string {
	if recorded, isRenamed := recordedWords[word]; isRenamed {
		return recorded
	}
	return word
}

// describeScenario describes the meaning of a scenario, one line for each step and expectation, independently of the notation of its file.
func describeScenario(s *Scenario) string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s: agents %d endpoints %d slots %d build %d service time %v transport %s\n",
		s.File, s.Agents, s.Endpoints.Count, s.Endpoints.Slots, s.Endpoints.Build, s.Endpoints.ServiceTime, recordedWord(s.Transport))
	fmt.Fprintf(&out, "election %t state folders %t lease %v absent %v operator %q seed %d timeout %v\n",
		s.Election.IsOn, s.Election.HasStateDirs, s.Election.Lease, s.AbsentAtStart, s.OperatorLines, s.Seed, s.Timeout)
	for _, step := range s.Steps {
		fmt.Fprintf(&out, "%d: after previous %t, %v: %s\n", step.Line, step.AfterPrevious, step.At, describeAction(step.Action))
	}
	for _, e := range s.Expectations {
		fmt.Fprintf(&out, "%d: %s from %s to %s, each %v, never two %q\n",
			e.Line, describeComparison(e.comparison), describeTimeRef(e.From), describeTimeRef(e.To), e.Window, e.ExclusiveClaim)
	}
	return out.String()
}

func describeAction(action stepAction) string {
	switch a := action.(type) {
	case openLoadStep:
		return fmt.Sprint("load ", a.number, " rate ", a.rate, " at ", describeAgents(&a.agents), " keyed ", a.keyedShare, " once ", a.nonIdempotentShare,
			" pieces ", a.splitShare, " leave ", a.disconnectShare, " short ", a.shortTimeoutShare)
	case closedLoadStep:
		return fmt.Sprint("clients ", a.clients, " pause ", a.pause, " at ", describeAgents(&a.agents))
	case faultStep:
		fault := netfault.Fault{}
		if a.apply != nil {
			a.apply(&fault)
		}
		return fmt.Sprint("fault ", fault, " heal ", a.isHeal, " from ", describeParty(a.from), " to ", describeParty(a.to), " both ", a.bidirectional,
			" transport ", a.transport, " streams ", a.streamsOnly, " datagrams ", a.datagramsOnly)
	case processStep:
		return fmt.Sprint("process ", recordedWord(a.action), " ", describeAgents(&a.agents), " program ", a.program, " clears ", a.clearsState)
	case reloadStep:
		return fmt.Sprint("reload ", describeAgents(&a.agents), " ", recordedWord(a.target), " ", a.tokens, " peer ", a.peer)
	case healthStep:
		return fmt.Sprint("health ", a.health, " ", describeEndpoints(&a.endpoints))
	case addEndpointsStep:
		return fmt.Sprint("add ", a.count, " of build ", a.build)
	case serviceTimeStep:
		return fmt.Sprint("service time ", a.factor, " ", describeEndpoints(&a.endpoints))
	case errorShareStep:
		return fmt.Sprint("errors ", a.share, " ", describeEndpoints(&a.endpoints))
	case rolloutStep:
		return fmt.Sprint("rollout ", a.build, " ", a.stage, " ", a.phase, " ", a.cap)
	case rolloutSilenceStep:
		return fmt.Sprint("rollout silent ", a.silent)
	case nameLeaderStep:
		return fmt.Sprint("name leader ", a.name, " not ", describeAgents(a.excluded), " within ", a.timeout)
	case membershipStep:
		return fmt.Sprint("members ", a.action, " ", describeAgents(&a.agents), " at ", describeAgents(&a.contacts), " within ", a.timeout)
	case checkStep:
		return "check " + a.name
	case waitStep:
		return fmt.Sprint("wait ", describeComparison(a.comparison), " within ", a.timeout)
	case markStep:
		return "mark " + a.name
	default:
		return fmt.Sprintf("unknown action %T", action)
	}
}

func describeComparison(c comparison) string {
	m := c.measure
	argument := m.Arg
	if m.Name == measureCalls {
		argument = recordedWord(argument)
	}
	return fmt.Sprint(recordedWord(m.Name), ":", argument, " of ", describeAgents(m.Agents), " at ", describeEndpoints(m.Endpoints),
		" build ", m.Build, " class ", m.Class, " ", c.operator, " ", c.value)
}

func describeAgents(set *AgentSet) string {
	if set == nil {
		return "-"
	}
	return fmt.Sprint("agents ", set.Numbers, set.Name, set.Inverted)
}

func describeEndpoints(set *EndpointSet) string {
	if set == nil {
		return "-"
	}
	return fmt.Sprint("endpoints ", set.Numbers, set.Build)
}

func describeParty(p Party) string {
	return fmt.Sprint("(", describeAgents(p.Agents), describeEndpoints(p.Endpoints), p.Discovery, p.Rollout, ")")
}

func describeTimeRef(t *TimeRef) string {
	if t == nil {
		return "-"
	}
	return fmt.Sprint(t.Mark, "+", t.Offset)
}

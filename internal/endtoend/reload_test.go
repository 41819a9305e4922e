package endtoend

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/fakes"
)

// SIGHUP moves the agent to the addresses that the file names now, without losing a change. A malformed file changes nothing, and keys
// that need a restart are named.
func TestReload(t *testing.T) {
	first := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("1")))
	second := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("2")))
	agent := startReadyAgent(t, fakes.ListEntry("s-1", first.Addr(), "active", 41))
	agenttest.Eventually(t, "the first calls to discovery and the rollout controller", func() bool {
		return agent.discovery.CallsContaining("index=1") == 1 && agent.rolloutController.CallsContaining("bulletin") == 1
	})
	reload := func(want string, change ...string) {
		t.Helper()
		config, seen := strings.NewReplacer(change...).Replace(agent.config), strings.Count(agent.log.String(), want)
		if err := os.WriteFile(agent.configPath, []byte(config), 0o600); err != nil {
			t.Fatal(err)
		}
		agent.signal(t, syscall.SIGHUP)
		agenttest.Eventually(t, want, func() bool { return strings.Count(agent.log.String(), want) > seen })
	}
	reload("the old stays in force", `{"name"`, `{"name`)
	reload("config.settings.Limits.DialTimeoutMs is 0", `"DialTimeoutMs":250.0`, `"DialTimeoutMs":0`)
	reload(`platform.address=""`)
	reload("config.limits.sockets", `"sockets":1024`, `"sockets":512`)
	if agent.discovery.CallsContaining("") != 1 || agent.rolloutController.CallsContaining("") != 1 {
		t.Errorf("addresses that did not change were called again: %q, %q", agent.discovery.Calls(), agent.rolloutController.Calls())
	}

	hosts := fakes.ListDocument(2, true, fakes.ListEntry("s-1", first.Addr(), "leaving", 41), fakes.ListEntry("s-2", second.Addr(), "active", 41))
	newDiscovery := agenttest.NewStreamServer(t, "\n", 100*time.Millisecond, func(target string) string {
		if strings.Contains(target, "stream") {
			return ""
		}
		return hosts
	})
	newController := agenttest.NewStreamServer(t, ":\n", 100*time.Millisecond, func(string) string { return fakes.RolloutEvent(43, 0, "testing", 0.5) })
	silent := agenttest.Listen(t)
	reload("reload", agent.discovery.Addr(), silent.Addr().String()) // an address that does not answer leaves the old one in force
	agent.discovery.Publish(fakes.ListDocument(2, false, fakes.ListEntry("s-3", second.Addr(), "left", 41)))
	agenttest.Eventually(t, "a change from the old address", func() bool { return strings.Contains(agent.log.String(), "version=2") })
	reload("reload", agent.discovery.Addr(), newDiscovery.Addr(), agent.rolloutController.Addr(), newController.Addr())
	agenttest.Eventually(t, "the new list", func() bool { return agent.request(t, "GET", "/lookup", "").body == "2" })
	agenttest.Eventually(t, "the update from the new controller", func() bool { return strings.Contains(agent.log.String(), "build=43") })
	agenttest.Eventually(t, "the end of the old streams", func() bool { return agent.discovery.Closed() == 1 && agent.rolloutController.Closed() == 1 })
	agenttest.Eventually(t, "the stream from the new address", func() bool { return newDiscovery.CallsContaining("index=2") == 1 })
	if agent.discovery.CallsContaining("") != 1 || agent.rolloutController.CallsContaining("") != 1 {
		t.Errorf("the old addresses were called again: %q, %q", agent.discovery.Calls(), agent.rolloutController.Calls())
	}
}

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

// At SIGHUP, the agent switches to the discovery and rollout controller addresses in the file, without missing a change of the endpoint list.
// A malformed file changes nothing, and changed keys that need a restart are logged.
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
		t.Errorf("unchanged addresses were called again: discovery got %q and the rollout controller %q, want one call each", agent.discovery.Calls(), agent.rolloutController.Calls())
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
	reload("reload", agent.discovery.Addr(), silent.Addr().String()) // while the new address does not answer, the old one stays in use
	agent.discovery.Publish(fakes.ListDocument(2, false, fakes.ListEntry("s-3", second.Addr(), "left", 41)))
	agenttest.Eventually(t, "the list change from the old address", func() bool { return strings.Contains(agent.log.String(), "version=2") })
	reload("reload", agent.discovery.Addr(), newDiscovery.Addr(), agent.rolloutController.Addr(), newController.Addr())
	agenttest.Eventually(t, "a response from the new list's endpoint", func() bool { return agent.request(t, "GET", "/lookup", "").body == "2" })
	agenttest.Eventually(t, "the update from the new controller", func() bool { return strings.Contains(agent.log.String(), "build=43") })
	agenttest.Eventually(t, "the close of the old streams", func() bool { return agent.discovery.Closed() == 1 && agent.rolloutController.Closed() == 1 })
	agenttest.Eventually(t, "the stream from the new address", func() bool { return newDiscovery.CallsContaining("index=2") == 1 })
	if agent.discovery.CallsContaining("") != 1 || agent.rolloutController.CallsContaining("") != 1 {
		t.Errorf("old addresses were called again: discovery got %q and the rollout controller %q, want one call each", agent.discovery.Calls(), agent.rolloutController.Calls())
	}
}

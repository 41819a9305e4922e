package endtoend

import (
	"strings"
	"testing"
)

// If the configuration has an error, the program exits at startup with one log line that says where the error is.
func TestInvalidConfigFile(t *testing.T) {
	for _, test := range []struct{ from, to, want string }{
		{`"SloMs":600.0`, `"SloMs":"soon"`, "config.settings.Grades.0.SloMs is \\\"soon\\\", not a number"},
		{`"Swap":"beside"`, `"Swap":"above"`, "config.settings.FamilyInfo.Swap"},
		{`"SloMs":600.0`, `"SloMs":0`, "config.settings.Grades.0.SloMs is 0"},
		{`"DialTimeoutMs":250.0`, `"DialTimeoutMs":0`, "config.settings.Limits.DialTimeoutMs"},
		{`"seed":"8c`, `"seed":"xx`, "config.seed"},
		{`"sockets":1024`, `"sockets":9`, "config.limits.sockets"},
		{`"discovery":"127`, `"discovery":"127.0.0.1","was":"127`, "config.discovery"},
		{`"Balancers":1`, `"Balancers":0`, "config.settings.Balancers is 0"},
		{`"progress":"live"`, `"progress":"odd"`, "config.platform.news"},
		{`"seq":1`, `"seq":"one"`, "config.known"},
		{`{"name"`, `{"name`, "GW_CONFIG"},
	} {
		agent := startAgent(t, func(config string) string { return strings.Replace(config, test.from, test.to, 1) })
		agent.expectStartError(t, test.to, test.want)
	}
}

// If a setting is missing or invalid, the program exits at startup with one log line that names the key and says what is expected.
func TestInvalidSettings(t *testing.T) {
	for name, test := range map[string]struct {
		change func(config, settings jsonObject)
		want   string
	}{
		"no classes":                       {func(_, settings jsonObject) { settings["Grades"] = []any{} }, "config.settings.Grades"},
		"class without a name":             {func(_, settings jsonObject) { settings["Grades"].([]any)[0].(jsonObject)["Name"] = "" }, "config.settings.Grades.0.Name"},
		"duplicate class name":             {func(_, settings jsonObject) { settings["Grades"].([]any)[1].(jsonObject)["Name"] = "lookup" }, "config.settings.Grades.1.Name"},
		"unknown idempotency":              {func(_, settings jsonObject) { settings["Grades"].([]any)[0].(jsonObject)["Repeat"] = "maybe" }, "config.settings.Grades.0.Repeat"},
		"no deadline":                      {func(_, settings jsonObject) { settings["Grades"].([]any)[0].(jsonObject)["HardLimitMs"] = 0 }, "config.settings.Grades.0.HardLimitMs"},
		"idempotency key without a window": {func(_, settings jsonObject) { delete(settings["Grades"].([]any)[1].(jsonObject), "WindowMs") }, "config.settings.Grades.1.WindowMs"},
		"zone out of range":                {func(_, settings jsonObject) { settings["Zone"] = 3 }, "config.settings.Zone"},
		"no idle timeout":                  {func(_, settings jsonObject) { delete(settings["Limits"].(jsonObject), "ConnIdleMs") }, "config.settings.Limits.ConnIdleMs"},
		"no stages":                        {func(_, settings jsonObject) { settings["FamilyInfo"].(jsonObject)["StageCap"] = []any{} }, "config.settings.FamilyInfo.StageCap"},
	} {
		t.Run(name, func(t *testing.T) {
			agent := startAgent(t, func(text string) string { return editConfig(t, text, test.change) })
			agent.expectStartError(t, name, test.want)
		})
	}
}

// expectStartError fails the test unless the process exits with an error at startup, after logging a single line that contains want. The
// parameter what names the case in failure messages.
func (a *runningAgent) expectStartError(t *testing.T, what, want string) {
	t.Helper()
	hasExited, result := a.waitExit()
	if !hasExited {
		t.Errorf("%s: the program did not exit, want an error at startup", what)
		return
	}
	if log := a.log.String(); result == nil || !strings.Contains(log, want) || strings.Count(log, "\n") != 1 {
		t.Errorf("%s: the program exited with %v and the log %q, want an error and one line that contains %s", what, result, log, want)
	}
}

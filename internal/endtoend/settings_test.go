package endtoend

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/fakes"
)

// requestClass returns the settings of a request class. The deadline is in milliseconds.
func requestClass(name, idempotency string, deadline float64) jsonObject {
	class := jsonObject{"Name": name, "Repeat": idempotency, "SloMs": deadline / 2, "HardLimitMs": deadline, "Worth": 1.0}
	if idempotency == "idempotency_key" {
		class["KeyScope"], class["WindowMs"] = "all", 700.0
	}
	return class
}

// The program serves requests with the settings of any deployment: it takes all names and values from the settings, and has none of
// a particular deployment built in. Each case starts the program and sends one request of each class, with the class's method, for
// each tenant.
func TestDeploymentSettings(t *testing.T) {
	twentyClasses := func() (out []any) {
		for i := range 20 {
			out = append(out, requestClass(fmt.Sprintf("class-%d", i), []string{"read_like", "idempotency_key", "non_idempotent"}[i%3], 9000))
		}
		return out
	}
	for name, change := range map[string]func(config, settings jsonObject){
		"unusual names": func(_, settings jsonObject) {
			settings["Grades"] = []any{
				requestClass("Tide-Table_2", "read_like", 9000), requestClass("berth-CLAIM", "idempotency_key", 9000),
				requestClass("9", "non_idempotent", 9000), requestClass("half%20off%", "read_like", 9000), requestClass("_health", "read_like", 9000),
				requestClass("_health2", "idempotency_key", 9000), requestClass("ping", "read_like", 9000), requestClass("a.b~c", "non_idempotent", 9000),
			}
			settings["Parties"] = []any{jsonObject{"Name": "9th-pier"}, jsonObject{"Name": "tugs.co"}, jsonObject{"Name": "100%"}, jsonObject{"Name": "x"}}
		},
		"one class":      func(_, settings jsonObject) { settings["Grades"] = []any{requestClass("only", "read_like", 9000)} },
		"twenty classes": func(_, settings jsonObject) { settings["Grades"] = twentyClasses() },
		"no tenants":     func(_, settings jsonObject) { settings["Parties"] = []any{} },
		"tenants absent": func(_, settings jsonObject) { delete(settings, "Parties") },
		"no zones":       func(_, settings jsonObject) { settings["Localities"], settings["Zone"] = []any{}, 0 },
		"only non_idempotent classes": func(_, settings jsonObject) {
			settings["Grades"] = []any{requestClass("a", "non_idempotent", 9000), requestClass("b", "non_idempotent", 9000)}
		},
		"only read_like classes": func(_, settings jsonObject) {
			settings["Grades"] = []any{requestClass("a", "read_like", 9000), requestClass("b", "read_like", 9000)}
		},
		"deadlines of 30 s": func(_, settings jsonObject) {
			settings["Grades"] = []any{requestClass("a", "read_like", 30000), requestClass("b", "idempotency_key", 30000)}
		},
		"short idle timeout": func(_, settings jsonObject) { settings["Limits"].(jsonObject)["ConnIdleMs"] = 300.0 },
		"no health checks, no load reports": func(_, settings jsonObject) {
			settings["Limits"].(jsonObject)["Probes"] = false
			settings["Feedback"] = jsonObject{"How": "off"}
		},
		"no Retry-After": func(_, settings jsonObject) {
			delete(settings["Limits"].(jsonObject), "RetryAfter")
			delete(settings["Limits"].(jsonObject), "MaxRetryAfterMs")
		},
		"one attempt": func(_, settings jsonObject) { settings["Limits"].(jsonObject)["MaxAttempts"] = 1 },
		"one stage": func(_, settings jsonObject) {
			rollout := settings["FamilyInfo"].(jsonObject)
			rollout["StageCap"], rollout["StageShare"] = []any{1.0}, []any{1.0}
		},
		"no rollout state": func(config, _ jsonObject) { delete(config["platform"].(jsonObject), "news") },
		"no endpoint list": func(config, _ jsonObject) { delete(config, "known") },
		"deadlines of 50 ms": func(_, settings jsonObject) {
			settings["Grades"] = []any{requestClass("a", "read_like", 50), requestClass("b", "idempotency_key", 50)}
		},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("done")))
			hosts := fakes.ListDocument(2, true, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41), fakes.ListEntry("s-2", endpoint.Addr(), "active", 41))
			discovery := agenttest.NewStreamServer(t, "\n", 100*time.Millisecond, func(target string) string {
				if strings.Contains(target, "stream") {
					return ""
				}
				return hosts
			})
			var classes []any
			var tenants []any
			agent := startAgent(t, func(text string) string {
				return editConfig(t, text, func(config, settings jsonObject) {
					config["discovery"] = discovery.Addr()
					change(config, settings)
					classes = settings["Grades"].([]any)
					tenants, _ = settings["Parties"].([]any)
				})
			}, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41), fakes.ListEntry("s-2", endpoint.Addr(), "active", 41))
			agent.waitHealthy(t)
			agenttest.Eventually(t, "a response from a listed endpoint", func() bool { // a list that is not configured is fetched from discovery
				return agent.request(t, classMethod(classes[0]), classPath(classes[0]), "").status == http.StatusOK
			})
			for _, class := range classes {
				for i := range max(1, len(tenants)) {
					tenantHeader := []string{}
					if len(tenants) > 0 {
						tenantHeader = []string{"X-Tenant", tenants[i].(jsonObject)["Name"].(string)}
					}
					limit := class.(jsonObject)["HardLimitMs"].(float64)
					got := agent.request(t, classMethod(class), classPath(class), "", append(tenantHeader, "X-Class", class.(jsonObject)["Name"].(string))...)
					// On a busy machine, a deadline of 50 ms may pass before the program gets CPU time. It then answers in time with 504 or 503.
					isLate := limit < 1000 && (got.status == http.StatusGatewayTimeout || got.status == http.StatusServiceUnavailable)
					if got.status != http.StatusOK && !isLate || got.status == http.StatusOK && got.body != "done" {
						t.Errorf("%v for %v: got %+v, want status 200 with the endpoint's body", class, tenantHeader, got)
					}
				}
			}
		})
	}
}

// classMethod returns the HTTP method of a class's requests.
func classMethod(class any) string {
	if class.(jsonObject)["Repeat"] == "read_like" {
		return http.MethodGet
	}
	return http.MethodPost
}

// classPath returns the path of a class's requests.
func classPath(class any) string { return "/" + url.PathEscape(class.(jsonObject)["Name"].(string)) }

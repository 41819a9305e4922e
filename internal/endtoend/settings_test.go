package endtoend

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/fakes"
)

// The settings of any customer are served: what the program takes from them it takes by their words, and by no name or figure of one
// deployment. Each case starts the program and has one request of each class served, by its method, for each tenant.

type jsonObject = map[string]any

// requestClass is a class as the settings tell it.
func requestClass(name, repeat string, deadline float64) jsonObject {
	g := jsonObject{"Name": name, "Repeat": repeat, "SloMs": deadline / 2, "HardLimitMs": deadline, "Worth": 1.0}
	if repeat == "idempotency_key" {
		g["KeyScope"], g["WindowMs"] = "all", 700.0
	}
	return g
}

func TestDeploymentSettings(t *testing.T) {
	many := func() (out []any) {
		for i := range 20 {
			out = append(out, requestClass(fmt.Sprintf("class-%d", i), []string{"read_like", "idempotency_key", "non_idempotent"}[i%3], 9000))
		}
		return out
	}
	for name, change := range map[string]func(conf, settings jsonObject){
		"odd names": func(_, s jsonObject) {
			s["Grades"] = []any{
				requestClass("Tide-Table_2", "read_like", 9000), requestClass("berth-CLAIM", "idempotency_key", 9000),
				requestClass("9", "non_idempotent", 9000), requestClass("half%20off%", "read_like", 9000), requestClass("_health", "read_like", 9000),
				requestClass("_health2", "idempotency_key", 9000), requestClass("ping", "read_like", 9000), requestClass("a.b~c", "non_idempotent", 9000),
			}
			s["Parties"] = []any{jsonObject{"Name": "9th-pier"}, jsonObject{"Name": "tugs.co"}, jsonObject{"Name": "100%"}, jsonObject{"Name": "x"}}
		},
		"one class":      func(_, s jsonObject) { s["Grades"] = []any{requestClass("only", "read_like", 9000)} },
		"twenty classes": func(_, s jsonObject) { s["Grades"] = many() },
		"no tenants":     func(_, s jsonObject) { s["Parties"] = []any{} },
		"tenants absent": func(_, s jsonObject) { delete(s, "Parties") },
		"no zones":       func(_, s jsonObject) { s["Localities"], s["Zone"] = []any{}, 0 },
		"all must never run twice": func(_, s jsonObject) {
			s["Grades"] = []any{requestClass("a", "non_idempotent", 9000), requestClass("b", "non_idempotent", 9000)}
		},
		"all may be repeated": func(_, s jsonObject) {
			s["Grades"] = []any{requestClass("a", "read_like", 9000), requestClass("b", "read_like", 9000)}
		},
		"deadlines of 30 s": func(_, s jsonObject) {
			s["Grades"] = []any{requestClass("a", "read_like", 30000), requestClass("b", "idempotency_key", 30000)}
		},
		"short idle time": func(_, s jsonObject) { s["Limits"].(jsonObject)["ConnIdleMs"] = 300.0 },
		"no probes, no reports": func(_, s jsonObject) {
			s["Limits"].(jsonObject)["Probes"] = false
			s["Feedback"] = jsonObject{"How": "off"}
		},
		"no advice when to return": func(_, s jsonObject) {
			delete(s["Limits"].(jsonObject), "RetryAfter")
			delete(s["Limits"].(jsonObject), "MaxRetryAfterMs")
		},
		"one attempt": func(_, s jsonObject) { s["Limits"].(jsonObject)["MaxAttempts"] = 1 },
		"one stage": func(_, s jsonObject) {
			f := s["FamilyInfo"].(jsonObject)
			f["StageCap"], f["StageShare"] = []any{1.0}, []any{1.0}
		},
		"no rollout state": func(c, _ jsonObject) { delete(c["platform"].(jsonObject), "news") },
		"nothing known":    func(c, _ jsonObject) { delete(c, "known") },
		"deadlines of 50 ms": func(_, s jsonObject) {
			s["Grades"] = []any{requestClass("a", "read_like", 50), requestClass("b", "idempotency_key", 50)}
		},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("done")))
			hosts := fakes.ListDocument(2, true, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41), fakes.ListEntry("s-2", endpoint.Addr(), "active", 41))
			d := agenttest.NewStreamServer(t, "\n", 100*time.Millisecond, func(asked string) string {
				if strings.Contains(asked, "stream") {
					return ""
				}
				return hosts
			})
			var grades []any
			var parties []any
			a := startAgent(t, func(raw string) string {
				var conf jsonObject
				if err := json.Unmarshal([]byte(raw), &conf); err != nil {
					t.Fatal(err)
				}
				s := conf["settings"].(jsonObject)
				conf["discovery"] = d.Addr()
				change(conf, s)
				grades = s["Grades"].([]any)
				parties, _ = s["Parties"].([]any)
				out, err := json.Marshal(conf)
				if err != nil {
					t.Fatal(err)
				}
				return string(out)
			}, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41), fakes.ListEntry("s-2", endpoint.Addr(), "active", 41))
			a.waitHealthy(t)
			agenttest.Eventually(t, "the list", func() bool { // where nothing is known it comes by a call
				return a.request(t, classMethod(grades[0]), classPath(grades[0]), "").status == 200
			})
			for _, g := range grades {
				for i := range max(1, len(parties)) {
					who := []string{}
					if len(parties) > 0 {
						who = []string{"X-Tenant", parties[i].(jsonObject)["Name"].(string)}
					}
					limit := g.(jsonObject)["HardLimitMs"].(float64)
					got := a.request(t, classMethod(g), classPath(g), "", append(who, "X-Class", g.(jsonObject)["Name"].(string))...)
					// 50 ms may be over on a busy machine before the program has the processor; then it says so in time.
					if late := limit < 1000 && (got.status == 504 || got.status == 503); got.status != 200 && !late || got.status == 200 && got.body != "done" {
						t.Errorf("%v for %v: got %+v", g, who, got)
					}
				}
			}
		})
	}
}

func classMethod(g any) string {
	if g.(jsonObject)["Repeat"] == "read_like" {
		return "GET"
	}
	return "POST"
}

func classPath(g any) string { return "/" + url.PathEscape(g.(jsonObject)["Name"].(string)) }

// What a customer's settings lack or have wrong ends the start in one line that names the key and what is expected there.
func TestInvalidSettings(t *testing.T) {
	for name, c := range map[string]struct {
		change func(conf, settings jsonObject)
		want   string
	}{
		"no class":               {func(_, s jsonObject) { s["Grades"] = []any{} }, "config.settings.Grades"},
		"a class without name":   {func(_, s jsonObject) { s["Grades"].([]any)[0].(jsonObject)["Name"] = "" }, "config.settings.Grades.0.Name"},
		"two of one name":        {func(_, s jsonObject) { s["Grades"].([]any)[1].(jsonObject)["Name"] = "lookup" }, "config.settings.Grades.1.Name"},
		"an effect not known":    {func(_, s jsonObject) { s["Grades"].([]any)[0].(jsonObject)["Repeat"] = "maybe" }, "config.settings.Grades.0.Repeat"},
		"no deadline":            {func(_, s jsonObject) { s["Grades"].([]any)[0].(jsonObject)["HardLimitMs"] = 0 }, "config.settings.Grades.0.HardLimitMs"},
		"keyed without window":   {func(_, s jsonObject) { delete(s["Grades"].([]any)[1].(jsonObject), "WindowMs") }, "config.settings.Grades.1.WindowMs"},
		"a zone that is not one": {func(_, s jsonObject) { s["Zone"] = 3 }, "config.settings.Zone"},
		"no idle time":           {func(_, s jsonObject) { delete(s["Limits"].(jsonObject), "ConnIdleMs") }, "config.settings.Limits.ConnIdleMs"},
		"no stage":               {func(_, s jsonObject) { s["FamilyInfo"].(jsonObject)["StageCap"] = []any{} }, "config.settings.FamilyInfo.StageCap"},
	} {
		t.Run(name, func(t *testing.T) {
			a := startAgent(t, func(raw string) string {
				var conf jsonObject
				if err := json.Unmarshal([]byte(raw), &conf); err != nil {
					t.Fatal(err)
				}
				c.change(conf, conf["settings"].(jsonObject))
				out, err := json.Marshal(conf)
				if err != nil {
					t.Fatal(err)
				}
				return string(out)
			})
			select {
			case err := <-a.exited:
				if logged := strings.TrimSpace(a.log.String()); err == nil || !strings.Contains(logged, c.want) || strings.Contains(logged, "\n") {
					t.Errorf("ended with %v and %q, want one line with %s", err, logged, c.want)
				}
			case <-time.After(agenttest.Patience):
				t.Error("it serves")
			}
		})
	}
}

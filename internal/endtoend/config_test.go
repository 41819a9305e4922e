package endtoend

import (
	"encoding/json"
	"testing"
)

// deploymentSettings is the settings object of the configuration that the tests start from.
const deploymentSettings = `{"Me":0,"Balancers":1,"Zone":0,"Discovery":"automatic","Localities":["suva"],

"Grades":[{"Name":"lookup","Repeat":"read_like","SloMs":600.0,"HardLimitMs":2000.0,"Worth":1.0},
{"Name":"posting","Repeat":"idempotency_key","KeyScope":"zone","WindowMs":8000.0,"SloMs":600.0,"HardLimitMs":2000.0,"Worth":5.0}],
"Parties":[{"Name":"acme"}],"Feedback":{"How":"on_probe","Fields":["queue"]},
"FamilyInfo":{"StageCap":[0.5,1.0],"StageShare":[0.5,1.0],"Shielded":0,"Swap":"beside","VoteStandsMs":4000.0,
"CallTimeoutMs":800.0,"ApiRate":50.0,"VoteMode":"any","VotesToGo":1,"NoesNeeded":1,"CountedOverMs":4000.0,"Allowance":30.0,
"CountedBy":"all"},"Safety":{"ColdFrom":0.3,"ColdMs":5000.0,"TipMultiple":2.0,"TipAfterMs":1500.0,"DrainGraceMs":1000.0,
"GraceToAnswerMs":20.0},"Limits":{"MaxAttempts":6,"DialTimeoutMs":250.0,"ConnIdleMs":30000.0,"RetryAfter":true,
"MaxRetryAfterMs":500.0,"Probes":true,"MayTell":false}}`

type jsonObject = map[string]any

// editConfig decodes a configuration, applies change to it and to its settings, and encodes it again.
func editConfig(t *testing.T, text string, change func(config, settings jsonObject)) string {
	t.Helper()
	var config jsonObject
	if err := json.Unmarshal([]byte(text), &config); err != nil {
		t.Fatal(err)
	}
	change(config, config["settings"].(jsonObject))
	edited, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	return string(edited)
}

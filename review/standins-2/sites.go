package main

import (
	"fmt"
	"math/rand/v2"
)

type object = map[string]any

// suva returns settings like those of the first deployment at its small size: lists are pushed, drains have 1 s.
func suva(me, agents int) object {
	return object{
		"Me": me, "Balancers": agents, "Zone": 0, "Discovery": "automatic", "Localities": []string{"suva", "nadi", "lautoka"},
		"Family": "rollout", "Kinds": []string{"full-speed"}, "PeriodMs": 5.0, "Tier": 0, "Tiers": []string{"ledger-boxes"},
		"ValueBy": "work", "Weights": "nominal", "OverShareWorth": 0.2,
		"Clients": object{"MarksRetry": false},
		"Grades": []object{
			{"Name": "lookup", "Repeat": "read_like", "KeyScope": "all", "WindowMs": 5000.0, "SloMs": 1500.0, "HardLimitMs": 5000.0, "Worth": 1.0, "LateValue": 0.2, "Stream": false},
			{"Name": "posting", "Repeat": "idempotency_key", "KeyScope": "zone", "WindowMs": 8000.0, "SloMs": 1500.0, "HardLimitMs": 4000.0, "Worth": 5.0, "LateValue": 0.0, "Stream": false},
		},
		"Parties":  []object{{"Name": "koro-array", "Fraction": 0.6, "QuotaRps": 30.0}, {"Name": "reef-calor", "Fraction": 0.4, "QuotaRps": 20.0}},
		"Feedback": object{"How": "off", "Fields": []string{}},
		"FamilyInfo": object{
			"StageCap": []float64{0.036, 0.144, 0.48, 1}, "StageShare": []float64{0.03, 0.12, 0.4, 1}, "Shielded": 1, "Swap": "in_place",
			"VoteStandsMs": 4000.0, "CallTimeoutMs": 800.0, "ApiRate": 50.0, "VoteMode": "any", "VotesToGo": 1, "NoesNeeded": 1, "ToPause": 0,
			"CountedOverMs": 4000.0, "Allowance": 3.0, "CountedBy": "all", "OneWay": false, "WarmKeys": true, "RepeatEveryMs": 6000.0,
			"LeastStageMs": 3000.0, "AutoAfterMs": 0.0, "TallyEveryMs": 0.0, "TallySample": 0.0, "ComplaintShare": 0.0, "DamagePrice": 8.0, "LagFee": 0.35,
		},
		"Safety": object{"ColdFrom": 0.31, "ColdMs": 5000.0, "TipMultiple": 2.0, "TipAfterMs": 1500.0, "DrainGraceMs": 1000.0, "GraceToAnswerMs": 20.0, "AskWithinMs": 10000.0},
		"Limits": object{
			"MaxAttempts": 6, "DialTimeoutMs": 250.0, "ConnIdleMs": 30000.0, "RetryAfter": true, "MaxRetryAfterMs": 500.0, "OpenCap": 20000, "Probes": true,
			"MayTell": false, "Cancel": true, "ParallelTries": false, "MaxStreams": 100, "CpuUsPerRequest": 0.0, "CpuUsPerS": 400000,
		},
		"Charges": object{"CrossZone": 0.12, "LateFail": 0.05, "Peer": 0.01, "Probe": 0.01, "Waste": 0.08},
	}
}

// labasa returns settings like those of the logbook at its small size: lists have to be asked for, drains have 0.5 s, agents share nothing.
func labasa(me, agents int) object {
	settings := suva(me, agents)
	settings["Discovery"] = "subscribe"
	settings["Localities"] = []string{"hall-a", "hall-b", "hall-c"}
	settings["Grades"] = []object{
		{"Name": "run-lookup", "Repeat": "read_like", "KeyScope": "all", "WindowMs": 5000.0, "SloMs": 1000.0, "HardLimitMs": 2500.0, "Worth": 2.0, "LateValue": 0.0, "Stream": false},
		{"Name": "beam-entry", "Repeat": "idempotency_key", "KeyScope": "zone", "WindowMs": 2000.0, "SloMs": 800.0, "HardLimitMs": 3000.0, "Worth": 2.0, "LateValue": 0.2, "Stream": false},
		{"Name": "run-close", "Repeat": "non_idempotent", "KeyScope": "all", "WindowMs": 0.0, "SloMs": 1200.0, "HardLimitMs": 3000.0, "Worth": 2.0, "LateValue": 0.0, "Stream": false},
	}
	settings["Parties"] = []object{}
	info := settings["FamilyInfo"].(object)
	info["VoteMode"], info["VotesToGo"], info["NoesNeeded"] = "share", max(1, agents/2), max(1, agents*35/100)
	info["CountedBy"], info["CountedOverMs"], info["CallTimeoutMs"], info["ApiRate"] = "class", 3000.0, 2000.0, 250.0
	info["StageCap"], info["StageShare"] = []float64{0.068, 0.17, 0.42, 0.94, 1}, []float64{0.04, 0.1, 0.25, 0.55, 1}
	info["Shielded"], info["Swap"], info["RepeatEveryMs"] = 0, "beside", 2000.0
	safety := settings["Safety"].(object)
	safety["ColdFrom"], safety["TipMultiple"], safety["TipAfterMs"], safety["DrainGraceMs"] = 0.43, 2.5, 3000.0, 500.0
	limits := settings["Limits"].(object)
	limits["MaxAttempts"], limits["ConnIdleMs"], limits["MaxRetryAfterMs"] = 3, 15000.0, 1000.0
	return settings
}

// agentConfig returns a whole configuration.
func agentConfig(index int, listen, discovery, platform string, known []entry, settings object, sockets int) object {
	return object{
		"name": fmt.Sprintf("n%d", index), "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%016x", rand.Uint64()),
		"limits":   object{"cores": 1.0, "memory_mb": 192, "sockets": sockets},
		"platform": object{"address": platform, "news": object{"image": 41, "ring": 3, "progress": "live", "ceiling": 1, "lag_ms": 90000}},
		"known":    list{Seq: 41, Whole: true, Hosts: known}, "settings": settings,
	}
}

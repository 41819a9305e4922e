package main

// class is a request class of the settings.
type class struct {
	name, repeat, scope string
	sloMs, limitMs      float64
	worth               float64
}

// deployment holds what the agents of a case have in common.
type deployment struct {
	agents       int
	classes      []class
	voteStandsMs float64
	marksRetry   bool
}

// agentConfig returns an agent's configuration. peers is empty where the agents do not talk.
func (d deployment) agentConfig(index int, listen, discovery, platform string, known, news object, peers []string) object {
	config := object{
		"name": "n" + string(rune('0'+index)), "listen": listen, "discovery": discovery,
		"seed":     "5b1f30d27a5be96" + string(rune('1'+index)),
		"limits":   object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"platform": object{"address": platform, "news": news}, "known": known,
		"settings": d.settings(index, len(peers) > 0),
	}
	if len(peers) > 0 {
		config["peer_listen"], config["peers"] = peers[index], peers
	}
	return config
}

func (d deployment) settings(index int, mayTell bool) object {
	var grades []object
	for _, c := range d.classes {
		grade := object{
			"Name": c.name, "Repeat": c.repeat, "SloMs": c.sloMs, "HardLimitMs": c.limitMs, "Worth": c.worth,
			"LateValue": 0.2, "Stream": false, "WindowMs": c.limitMs,
		}
		if c.scope != "" {
			grade["KeyScope"], grade["WindowMs"] = c.scope, 8000.0
		}
		grades = append(grades, grade)
	}
	return object{
		"Me": index, "Balancers": d.agents, "Zone": 0, "Family": "rollout", "Discovery": "automatic",
		"Localities": []string{"east"}, "Kinds": []string{"std"}, "Grades": grades,
		"Parties":  []object{{"Name": "crew", "Fraction": 1.0, "QuotaRps": 200.0}},
		"Clients":  object{"MarksRetry": d.marksRetry},
		"Feedback": object{"How": "off"}, "Weights": "nominal",
		"FamilyInfo": object{
			"Allowance": 3.0, "ApiRate": 50.0, "CallTimeoutMs": 800.0, "CountedBy": "all", "CountedOverMs": 4000.0,
			"LeastStageMs": 3000.0, "NoesNeeded": 1, "OneWay": false, "RepeatEveryMs": 6000.0, "Shielded": 1,
			"StageCap": []float64{0.04, 0.15, 0.5, 1}, "StageShare": []float64{0.03, 0.12, 0.4, 1}, "Swap": "beside",
			"TallyEveryMs": 0.0, "TallySample": 0.0, "VoteMode": "any", "VoteStandsMs": d.voteStandsMs, "VotesToGo": 1,
			"WarmKeys": false,
		},
		"Limits": object{
			"Cancel": true, "ConnIdleMs": 30000.0, "DialTimeoutMs": 250.0, "MaxAttempts": 3, "MaxRetryAfterMs": 500.0,
			"MayTell": mayTell, "OpenCap": 20000, "ParallelTries": false, "Probes": true, "RetryAfter": true,
		},
		"Safety": object{
			"ColdFrom": 0.4, "ColdMs": 5000.0, "DrainGraceMs": 1000.0, "GraceToAnswerMs": 20.0, "TipAfterMs": 2000.0, "TipMultiple": 4.0,
		},
		"Charges": object{"CrossZone": 0.0, "Waste": 0.05, "Probe": 0.01, "Peer": 0.01},
	}
}

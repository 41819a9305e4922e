package faulttest

// wordContext is where a word of the notation stands: the same word may mean different things in two places.
type wordContext int

const (
	headerWord      wordContext = iota // begins a line that describes the deployment
	stepWord                           // is the keyword of a step
	argumentWord                       // stands behind a keyword
	optionWord                         // stands before = in KEY=VALUE
	partyWord                          // names endpoints or a server
	measureWord                        // names a measure
	measureArgument                    // stands behind : of a measure
)

// formerWords are the words of the notation's former version with those that took their place. Files in either are read.
var formerWords = map[wordContext]map[string]string{
	headerWord: {
		"appliances": "endpoints", "talk": "transport", "decider": "leader-election", "late": "absent", "bound": "timeout",
	},
	stepWord: {
		"crowd": "client-load", "silent": "blackhole", "lose": "loss", "slow": "delay", "trickle": "bandwidth",
		"double": "duplicate", "swap": "reorder", "stop": "pause", "go": "resume", "term": "terminate",
		"ready": "activate", "gone": "remove", "work": "slowdown", "fail": "error-rate", "news": "rollout",
		"launcher": serverRollout,
	},
	argumentWord: {
		"no": transportNone, "no-folders": "stateless", "fresh": "clear-state", "spoilt": reloadMalformed, "launcher": serverRollout,
		"lead": "leader",
	},
	optionWord: {
		"work": "service-time", "posting": "keyed", "once": "non-idempotent", "pieces": "split", "leave": "disconnect",
		"short": "short-timeout", "pause": "think-time", "product": "class",
	},
	partyWord: {
		"appliance": "endpoint", "appliances": "endpoints", "launcher": serverRollout,
	},
	measureWord: {
		"settled": measureSucceeded, "in-time": measureInTime, "declined": measureRejected, "repeats": measureDuplicates,
		"leads": measureLeaders,
	},
	measureArgument: {
		"on": "advance", "back": "rollback", "launcher": serverRollout,
	},
}

// currentWord is a word as the current notation has it, if it is one of the former notation.
func currentWord(context wordContext, word string) string {
	if current, isFormer := formerWords[context][word]; isFormer {
		return current
	}
	return word
}

// recommendationWords are the notation's words for what an agent may vote for.
var recommendationWords = map[string]string{
	"advance": recommendAdvance, "rollback": recommendRollback, "hold": recommendHold, "none": recommendNone,
}

// recommendationWord is the notation's word for a recommendation of the records.
func recommendationWord(recommendation string) string {
	for word, recorded := range recommendationWords {
		if recorded == recommendation {
			return word
		}
	}
	return recommendation
}

package faulttest

// wordContext is the position of a word in the notation. The same word may have different meanings in different positions.
type wordContext int

const (
	headerWord      wordContext = iota // the first word of a line that describes the deployment
	stepWord                           // the keyword of a step
	argumentWord                       // an argument after a keyword
	optionWord                         // the KEY of an option KEY=VALUE
	partyWord                          // a word for endpoints or a server
	measureWord                        // the name of a measure
	measureArgument                    // the argument after the colon of a measure
)

// formerWords maps the words of the former notation to the words that replaced them. Files in either notation can be read.
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

// currentWord translates a word of the former notation to the current notation. Other words are returned unchanged.
func currentWord(context wordContext, word string) string {
	if current, isFormer := formerWords[context][word]; isFormer {
		return current
	}
	return word
}

// recommendationWords maps the notation's words for recommendations to those of records.json.
var recommendationWords = map[string]string{
	"advance": recommendAdvance, "rollback": recommendRollback, "hold": recommendHold, "none": recommendNone,
}

// recommendationWord returns the notation's word for a recommendation of records.json.
func recommendationWord(recommendation string) string {
	for word, recorded := range recommendationWords {
		if recorded == recommendation {
			return word
		}
	}
	return recommendation
}

package config

import "time"

// defaultMaxOpenRequests applies if the deployment does not configure a limit.
const defaultMaxOpenRequests = 20000

// Discovery modes. With subscribe, the agent has to poll the endpoint list. With automatic, the agent receives changes
// without polling.
const (
	discoverySubscribe = "subscribe"
	discoveryAutomatic = "automatic"
)

// Connections are the limits of an agent's connections to endpoints and to the rollout controller.
type Connections struct {
	DialTimeout      time.Duration // the longest time that establishing a connection may take
	IdleTimeout      time.Duration // the time after which an endpoint may close an idle connection
	CallTimeout      time.Duration // the timeout of a call to the rollout controller
	PollWithin       time.Duration // the agent polls the endpoint list at least this often; 0: it does not have to poll
	MaxOpenRequests  int           // the number of requests that the agent may have open at a time
	MaxRetryAfter    time.Duration // the longest Retry-After that clients honor; 0: they honor none
	HealthChecks     bool
	LoadReportFields []string // the names of the fields of a load report; empty if there are no reports
}

// Connections reads the limits of connections.
func (s *Settings) Connections() Connections {
	connections := Connections{
		DialTimeout:     s.positiveDuration(keyDialTimeout),
		IdleTimeout:     s.positiveDuration(keyIdleTimeout),
		CallTimeout:     s.positiveDuration(keyCallTimeout),
		MaxOpenRequests: defaultMaxOpenRequests,
		HealthChecks:    s.boolean(keyHealthChecks),
	}
	if s.boolean(keyRetryAfter) {
		connections.MaxRetryAfter = s.duration(keyMaxRetryAfter)
	}
	if s.isSet(keyPollWithin) && s.values[keyDiscoveryMode] == discoverySubscribe {
		connections.PollWithin = s.duration(keyPollWithin)
	}
	if s.isSet(keyMaxOpenRequests) {
		connections.MaxOpenRequests = s.integer(keyMaxOpenRequests)
	}
	if mode := s.values[keyLoadReportMode]; mode != "" && mode != loadReportsOff {
		connections.LoadReportFields = s.textList(keyLoadReportFields)
	}
	return connections
}

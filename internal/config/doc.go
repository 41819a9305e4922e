// Package config reads, checks and completes the configuration that the platform hands to an agent: the JSON file that
// GW_CONFIG names together with the GW_* environment variables for the real agent, and key=value pairs for the
// simulator. Both forms end as the same flat [Settings], from which the package builds the agent's policy.Router.
//
// The keys belong to the platform's operators and are listed in keys.go. No other package reads the GW_* variables. A
// value of this package is used by one goroutine at a time: the accessors record the first fault that they meet.
package config

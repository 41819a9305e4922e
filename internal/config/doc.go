// Package config reads and validates the configuration that the platform gives to an agent, and fills in defaults. A real
// agent is configured by the JSON file that GW_CONFIG names and by the other GW_* environment variables, a simulated one by
// key=value pairs. Both forms are converted to the same flat [Settings], from which the package builds the agent's
// policy.Router.
//
// The keys are defined by the platform's operators and are listed in keys.go. No other package reads the GW_* variables.
// Values of this package must not be used by several goroutines at a time, because their accessors record the first error.
package config

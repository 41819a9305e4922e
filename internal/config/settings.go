package config

// Settings are a deployment's settings, read from flat key=value pairs. Each section has a file that reads it:
//
//   - classes.go: the request classes
//   - tenants.go and zones.go: the tenants and the zones
//   - connections.go and load_report.go: connections to endpoints and what endpoints report of their load
//   - voting.go and rollout.go: votes, and the plan and limits of a rollout
//   - limits.go: slow start, retries, capabilities and costs
//   - router.go: all of it for the policy, and what contradicts
//
// The accessors of the pairs are those of keyValues; they record the first fault, which Err returns.
type Settings struct{ *keyValues }

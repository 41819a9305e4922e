package config

// Settings are a deployment's settings, read from flat key=value pairs. Each section is read in a separate file:
//
//   - classes.go: the request classes
//   - tenants.go and zones.go: the tenants and the zones
//   - connections.go and load_report.go: the connections to endpoints and the endpoints' load reports
//   - voting.go and rollout.go: the voting rules, and the plan and limits of a rollout
//   - limits.go: slow start, retries, capabilities and costs
//   - router.go: everything that the policy needs, and the check for settings that contradict each other
//
// The accessors of keyValues read single pairs. They record the first error, which Err returns.
type Settings struct{ *keyValues }

// Package simulation runs the agent's own admission, routing and election code in simulated time, at sizes and numbers of runs
// that sockets don't reach.
//
// There are two experiments. PlayAdmission sends requests of several tenants through an admission controller and a router to
// modelled endpoints. PlayElection lets replicas elect a leader and vote while the network, the processes and the rollout
// controller fail. The code under test runs unmodified; the package owns the model around it and the measurements.
//
// The same scenario and seed give the same result. A run uses one goroutine and shares nothing, so runs may be played
// concurrently.
package simulation

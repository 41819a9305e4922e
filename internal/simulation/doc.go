// Package simulation runs the agent's own admission, routing and election code in simulated time. This allows fleet sizes and
// numbers of runs that are out of reach with real sockets.
//
// There are two experiments. PlayAdmission sends requests of several tenants through an admission controller and a router to
// modelled endpoints. PlayElection lets replicas elect a leader and vote while the network, the processes and the rollout
// controller fail. The code under test is unmodified. This package provides the model of its environment and the measurements.
//
// The same scenario and seed give the same result. A run uses one goroutine and shares no state, so several runs may be in
// progress at the same time.
package simulation

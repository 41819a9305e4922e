// Package endtoend tests the program as a process: the tests start the agent's binary with a configuration file and speak to it as its
// clients, endpoints, discovery service and rollout controller do. It holds tests only.
package endtoend

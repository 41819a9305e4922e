// Package fakes provides what an agent communicates with, for tests and experiments on loopback: endpoints, discovery, the rollout
// controller and clients, with scripted behavior. It also writes an agent's files and starts its program.
//
// The fakes are written from the protocol's documentation and share no code with the agent, so that tests detect an agent that
// misinterprets the protocol. Their methods may be called from any goroutine unless they say otherwise. The caller that starts a fake
// has to close it.
package fakes

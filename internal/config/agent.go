package config

import (
	"fmt"
	"net"
	"strconv"
)

// Defaults and minima of ResourceLimits. The defaults are what every machine of the platform has at least.
const (
	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minMemoryMB     = 32
	minSockets      = 64
)

const (
	seedBase = 16 // seeds are written in hexadecimal
	seedBits = 64
)

// Identity is the agent's name and the addresses that it serves on and connects to.
type Identity struct {
	Name      string
	Listen    string // the address for clients
	Discovery string
	Rollout   string // the rollout controller
}

// ResourceLimits are the resources that the agent may use.
type ResourceLimits struct {
	Cores    float64
	MemoryMB int
	Sockets  int
}

// Peers is how agents reach each other; Listen is empty where they may not.
type Peers struct {
	Listen    string
	Broadcast string   // the address that reaches all agents; empty where there is none
	Addresses []string // by the agents' indices
}

// Identity reads the agent's name and addresses.
func (f *File) Identity() Identity {
	return Identity{
		Name:      f.environmentOr(envName, keyName),
		Listen:    f.address(keyListen, f.environmentOr(envListen, keyListen)),
		Discovery: f.address(keyDiscoveryServer, f.environmentOr(envDiscovery, keyDiscoveryServer)),
		Rollout:   f.address(keyRolloutServer, f.text(keyRolloutServer)),
	}
}

// ResourceLimits reads the limits, with defaults for those that the file leaves out.
func (f *File) ResourceLimits() ResourceLimits {
	limits := ResourceLimits{
		Cores:    f.figureOrDefault(keyCores, defaultCores),
		MemoryMB: int(f.figureOrDefault(keyMemoryMB, defaultMemoryMB)),
		Sockets:  int(f.figureOrDefault(keySockets, defaultSockets)),
	}
	if limits.Cores <= 0 {
		f.recordError(keyCores, "is %v", limits.Cores)
	}
	if limits.MemoryMB < minMemoryMB {
		f.recordError(keyMemoryMB, "is %d; an agent needs %d", limits.MemoryMB, minMemoryMB)
	}
	if limits.Sockets < minSockets {
		f.recordError(keySockets, "is %d; an agent needs %d", limits.Sockets, minSockets)
	}
	return limits
}

// Peers reads the addresses of the other agents, none where the deployment lets agents exchange no messages.
func (f *File) Peers() Peers {
	if !f.Deployment.boolean(keyGossip) || !f.isSet(keyPeerListen) {
		return Peers{}
	}
	peers := Peers{
		Listen:    f.address(keyPeerListen, f.text(keyPeerListen)),
		Addresses: f.textList(keyPeerAddresses),
	}
	for i, peer := range peers.Addresses {
		f.address(fmt.Sprintf("%s.%d", keyPeerAddresses, i), peer)
	}
	if f.isSet(keyPeerBroadcast) {
		peers.Broadcast = f.address(keyPeerBroadcast, f.text(keyPeerBroadcast))
	}
	return peers
}

// Seed reads the seed of the router's random numbers: up to 16 hexadecimal digits.
func (f *File) Seed() uint64 {
	text := f.text(keySeed)
	seed, err := strconv.ParseUint(text, seedBase, seedBits)
	if err != nil {
		f.recordError(keySeed, "is %q, not a hexadecimal number", text)
	}
	return seed
}

// environmentOr returns the variable's value, or the key's where the variable is not set.
func (f *File) environmentOr(variable, key string) string {
	if value := f.getenv(variable); value != "" {
		return value
	}
	return f.text(key)
}

// address checks that a value has the form host:port, and returns it as it is.
func (f *File) address(key, value string) string {
	if _, port, err := net.SplitHostPort(value); err != nil || port == "" {
		f.recordError(key, "is %q, not host:port", value)
	}
	return value
}

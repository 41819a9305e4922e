package config

import (
	"fmt"
	"net"
	"strconv"
)

// Defaults and minima of ResourceLimits. Every machine of the platform has at least the default resources.
const (
	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minMemoryMB     = 32
	minSockets      = 64
)

const (
	seedBase = 16 // seeds are hexadecimal numbers
	seedBits = 64
)

// Identity is the agent's name, the address on which it serves clients, and the addresses to which it connects.
type Identity struct {
	Name      string
	Listen    string // the address on which the agent serves clients
	Discovery string // the discovery server's address
	Rollout   string // the rollout controller's address
}

// ResourceLimits are the resources that the agent may use.
type ResourceLimits struct {
	Cores    float64
	MemoryMB int
	Sockets  int
}

// Peers are the addresses by which agents exchange messages. Listen is empty if agents may not exchange messages.
type Peers struct {
	Listen    string
	Broadcast string   // the address that reaches all agents; empty if there is none
	Addresses []string // the agents' addresses, in the order of their indices
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

// ResourceLimits reads the limits. Limits that are missing in the file have defaults.
func (f *File) ResourceLimits() ResourceLimits {
	limits := ResourceLimits{
		Cores:    f.nonNegativeOrDefault(keyCores, defaultCores),
		MemoryMB: int(f.nonNegativeOrDefault(keyMemoryMB, defaultMemoryMB)),
		Sockets:  int(f.nonNegativeOrDefault(keySockets, defaultSockets)),
	}
	if limits.Cores <= 0 {
		f.recordError(keyCores, "is %v, expected more than 0", limits.Cores)
	}
	if limits.MemoryMB < minMemoryMB {
		f.recordError(keyMemoryMB, "is %d, expected at least %d", limits.MemoryMB, minMemoryMB)
	}
	if limits.Sockets < minSockets {
		f.recordError(keySockets, "is %d, expected at least %d", limits.Sockets, minSockets)
	}
	return limits
}

// Peers reads the agents' addresses. It returns none if the deployment does not let agents exchange messages.
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
		f.recordError(keySeed, "is %q, expected a hexadecimal number of up to 64 bits", text)
	}
	return seed
}

// environmentOr returns the variable's value, or the key's value if the variable is not set.
func (f *File) environmentOr(variable, key string) string {
	if value := f.getenv(variable); value != "" {
		return value
	}
	return f.text(key)
}

// address checks that a key's value has the form host:port, and returns the value unchanged.
func (f *File) address(key, value string) string {
	if _, port, err := net.SplitHostPort(value); err != nil || port == "" {
		f.recordError(key, "is %q, not host:port", value)
	}
	return value
}

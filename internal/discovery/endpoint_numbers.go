package discovery

import "switchfork/internal/protocol"

// endpointNumbers assigns a unique number to each host. The number is the endpoint's ID in the policy.
type endpointNumbers struct {
	numberOfHost map[string]uint32
	hostOfNumber map[uint32]string
}

func newEndpointNumbers() *endpointNumbers {
	return &endpointNumbers{numberOfHost: map[string]uint32{}, hostOfNumber: map[uint32]string{}}
}

// assign returns a host's number and assigns one if the host has none. The number is a hash of the host's name, so that it is the same on
// every agent and after a restart. If two names have the same hash, the second host to be assigned a number gets the hash of its name with
// apostrophes appended. Hosts of the same list are assigned their numbers in the order of their names.
func (n *endpointNumbers) assign(host string) uint32 {
	if number, assigned := n.numberOfHost[host]; assigned {
		return number
	}
	for name := host; ; name += "'" {
		number := protocol.EndpointID(name)
		if _, taken := n.hostOfNumber[number]; !taken {
			n.numberOfHost[host], n.hostOfNumber[number] = number, host
			return number
		}
	}
}

func (n *endpointNumbers) release(host string) {
	delete(n.hostOfNumber, n.numberOfHost[host])
	delete(n.numberOfHost, host)
}

// releaseAbsent releases the numbers of all hosts that are not in present.
func (n *endpointNumbers) releaseAbsent(present map[string]bool) {
	for host := range n.numberOfHost {
		if !present[host] {
			n.release(host)
		}
	}
}

package discovery

import "switchfork/internal/protocol"

// endpointNumbers gives each host a number of its own.
type endpointNumbers struct {
	numberOfHost map[string]uint32
	hostOfNumber map[uint32]string
}

func newEndpointNumbers() *endpointNumbers {
	return &endpointNumbers{numberOfHost: map[string]uint32{}, hostOfNumber: map[uint32]string{}}
}

// assign returns a host's number: a hash of its name, and so the same on every agent and after a restart. Where two names have the same
// hash, the host that is assigned its number second gets the hash of a longer name; within a list that is the second in the order of the
// hosts' names.
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

// releaseAbsent releases the numbers of all hosts that are not present.
func (n *endpointNumbers) releaseAbsent(present map[string]bool) {
	for host := range n.numberOfHost {
		if !present[host] {
			n.release(host)
		}
	}
}

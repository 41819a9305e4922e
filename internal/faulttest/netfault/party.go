package netfault

import "net"

const (
	// partiesPerSubnet is how many parties share the third byte of their relays' addresses.
	partiesPerSubnet = 250
	noParty          = -1
)

// PartyIP is the loopback address that a party's relays dial from, so that the server knows the client; PartyOf is its inverse.
func PartyIP(party int) net.IP {
	return net.IPv4(127, 0, byte(1+party/partiesPerSubnet), byte(1+party%partiesPerSubnet))
}

// PartyOf is the party whose relay dialled from an address, -1 for an address that is no relay's.
func PartyOf(a net.Addr) int {
	address, isTCP := a.(*net.TCPAddr)
	if !isTCP {
		return noParty
	}
	ip := address.IP.To4()
	if ip == nil || ip[2] == 0 || ip[3] == 0 {
		return noParty
	}
	return int(ip[2]-1)*partiesPerSubnet + int(ip[3]) - 1
}

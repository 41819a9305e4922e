package netfault

import "net"

const (
	// partiesPerSubnet is the number of parties whose relay addresses have the same third byte.
	partiesPerSubnet = 250
	noParty          = -1
)

// PartyIP returns the loopback address from which a party's relays dial, so that a server can identify the party. PartyOf is the
// inverse.
func PartyIP(party int) net.IP {
	return net.IPv4(127, 0, byte(1+party/partiesPerSubnet), byte(1+party%partiesPerSubnet))
}

// PartyOf returns the party whose relay dialled from an address, or -1 if the address is not a relay's.
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

package protocol

import "hash/fnv"

// Hash64 is a string's FNV-1a hash: the same on every agent and after a restart.
func Hash64(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s)) // a hash's Write returns no error
	return h.Sum64()
}

// EndpointID is an endpoint's number: a hash of its host name.
func EndpointID(host string) uint32 {
	h := Hash64(host)
	return uint32(h ^ h>>32)
}

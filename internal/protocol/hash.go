package protocol

import "hash/fnv"

// Hash64 returns the FNV-1a hash of a string. The hash is the same on every agent and after a restart.
func Hash64(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s)) // a hash's Write never returns an error
	return h.Sum64()
}

// EndpointID returns the ID of the endpoint whose host name is host. The ID is a hash of the name.
func EndpointID(host string) uint32 {
	h := Hash64(host)
	return uint32(h ^ h>>32)
}

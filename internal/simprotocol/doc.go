// Package simprotocol speaks the simulator's binary protocol, so that the simulator can run many instances of the
// agent's policy in one process. It translates records into policy events and commands back into records; it decides
// nothing.
//
// A batch is a little-endian frame: its length, the number of its records, the clock, and the records, each with a
// kind, a length and a body. Every batch is answered by one frame of command records. Times are milliseconds in 64-bit
// floats on the wire and whole microseconds in the policy.
//
// A Host owns its instances and is used by one goroutine.
package simprotocol

// Package simprotocol implements the simulator's binary protocol, with which the simulator runs many instances of the
// agent's policy in one process. It translates records into policy events, and policy commands into records. All decisions
// are made by the policy.
//
// A batch is a little-endian frame. It holds its own length, the number of records, the simulated time, and the records.
// Each record has a kind, a length and a body. The reply to a batch is one frame of command records. Times are
// milliseconds as 64-bit floats on the wire, and whole microseconds in the policy.
//
// A Host owns its instances. It is not safe for concurrent use.
package simprotocol

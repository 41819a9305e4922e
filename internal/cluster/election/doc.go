// Package election elects one of several replicas as the leader that casts the votes on a release, and decides which votes the
// leader may cast and when. It implements lease-based leader election with a replicated vote log, based on Paxos. The package
// does no I/O and is driven by the events and the time that its caller passes in.
//
// # Use
//
// Each process creates one [Replica] with [New] and passes it every event together with the process's own monotonic time in
// whole microseconds. The process carries out the returned commands in order. A Replica evaluates no build, does no I/O and
// reads no clock.
//
// A Replica belongs to one goroutine: its methods must not be called concurrently, and the commands returned by a call are valid
// until the next call. Package coordinator runs a Replica in production, package simulation in simulated time.
//
// # Parts
//
// Replica begins and ends each call. It passes events on to the following parts. Each part holds its own state and bases its
// decisions on that state alone:
//
//   - leaderElection (leader_election.go, handlers.go) handles the Paxos messages. It uses membership (which replicas are
//     members, and whether a quorum knows them), acceptor (which ballot is promised and which lease is accepted), campaignTimer
//     (when to campaign for the leadership), candidate (the state of this replica's own ballot) and lease (whether this replica
//     leads).
//   - voteCaster decides which vote a leader casts and when. It uses recommendations (the verdicts that the release analyzers
//     recommend), voteLog (whether a quorum knows a record) and voteHistory (the votes that were cast and may still count).
//   - selfStop decides whether this replica stops its own agent's requests to a build while no leader is known.
//
// # Protocol
//
// A replica that wants to lead sends Prepare with a new ballot. A replica that has accepted the lease of a replica other than the
// candidate does not promise the ballot while that lease is in force, so that a partitioned replica can't disturb the leader. Once
// a quorum has promised the ballot, the candidate sends Propose. Once a quorum has accepted, the candidate leads until the end of
// the lease, which counts from the start of the ballot. The leader renews the lease with a further ballot. The first ballot of an
// uninterrupted leadership is its term.
//
// A leader replicates the record of each decision to a quorum before it casts the vote. For each vote, the leader sets a time
// before which the vote must be written. A new leader knows the newest record that its predecessors replicated, and casts no
// contrary vote (one with another verdict on the same stage) until the votes of its predecessors can no longer count.
//
// Members join and leave one at a time. The leader stamps each set of members with its term. A leader that leaves releases its
// lease, and with the same message promises the next member a ballot.
//
// # Invariants
//
//   - Two leases never overlap. The leader counts its lease from before it sent the first Prepare, and shortens it by the clock
//     drift. Any two quorums have a replica in common, which holds the lease until the lease has ended by that replica's
//     own clock.
//   - A vote is cast only after a quorum knows its record, so that every later leader knows the record, too.
//   - No two contrary votes on one stage count at the same time.
//   - Durable state is persisted before any message or vote that depends on it is sent. A replica that restarts without its
//     state abstains until all leases that it may have accepted have ended, and the votes cast under them can no longer count.
//
// The full argument is in docs/design-election.md.
package election

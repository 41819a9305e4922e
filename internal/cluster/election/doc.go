// Package election decides which one replica of several casts the votes on a release, and which votes it may cast when. It
// is lease-based leader election with a replicated vote log, in the manner of Paxos: a core without I/O that is driven by
// messages and by the time.
//
// # Use
//
// Each process makes one [Replica] with [New], passes it every event together with its own monotonic time in whole
// microseconds, and carries out the returned commands in their order. A Replica evaluates no build, does no I/O and reads no
// clock. It belongs to one goroutine (package coordinator runs it in production, package simulation in simulated time): its
// methods must not be called concurrently, and the commands of a call are valid until the next call.
//
// # Parts
//
// Replica begins and ends each call. It passes events on to parts that hold their own state and decide from it alone:
//
//   - leaderElection (leader_election.go, handlers.go) handles the messages of Paxos, with membership (who is a member, whether a
//     quorum knows it), acceptor (what is promised and accepted here), campaignTimer (when to ask for the leadership), candidate
//     (how this replica's own ballot stands) and lease (whether this replica leads).
//   - voteCaster decides which vote a leader casts and when, with recommendations (what the release analyzers ask for), voteLog
//     (what is known to a quorum) and voteHistory (what was cast and may still count).
//   - selfStop decides what this replica does while no leader is known.
//
// # Protocol
//
// A replica that wants to lead sends Prepare with a new ballot. A replica that has accepted another's lease which still runs
// does not answer, so that a partitioned replica can't disturb the leader. With the promises of a quorum the candidate sends
// Propose; once a quorum has accepted, it leads until the lease, counted from the beginning of the ballot, is over. It renews
// the lease with a further ballot; the first ballot of an uninterrupted leadership is its term.
//
// A leader replicates each decision to a quorum before it casts the vote, and names the time after which the vote must not be
// written any more. A new leader knows the newest record that its predecessors replicated, and casts nothing contrary on the
// same stage until nothing of theirs can count.
//
// Members join and leave one at a time; the leader stamps each set with its term. A leader that leaves releases its lease and
// hands the next replica in turn a ballot that it has promised already.
//
// # Invariants
//
//   - Two leases never overlap: the leader counts its lease from before it asked, shortened by the clock drift, and any two
//     quorums have a replica in common that holds the lease until its own count is over.
//   - A vote is cast only after a quorum knows its record, so that every later leader knows it, too.
//   - No two contrary votes on one stage count at the same time.
//   - Durable state is persisted before any message or vote that depends on it leaves; a replica that restarts without its
//     state abstains until nothing can count any more that it may have answered for.
//
// The full argument is in docs/design-election.md.
package election

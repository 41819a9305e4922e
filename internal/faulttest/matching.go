package faulttest

import (
	"fmt"
	"slices"

	"switchfork/internal/faulttest/netfault"
)

// connKey identifies a connection both at the relay and at the server.
type connKey struct {
	server      *countingListener
	agent, port int
}

// matchTraces finds the relay's trace of each connection that a server accepted, and describes the traces that have no connection or are
// full. A port may be used more than once in a run: the first trace with a port belongs to the first connection from this port.
func (n *relayNetwork) matchTraces() (traces map[*countedConn]*netfault.Trace, unmatched []string) {
	relays := slices.DeleteFunc(n.streamRelays(), func(relay streamRelay) bool { return relay.server == nil })
	conns := connsByKey(relays)
	traces = map[*countedConn]*netfault.Trace{}
	for _, relay := range relays {
		for _, trace := range relay.stream.Traces() {
			if trace.IsFull() {
				unmatched = append(unmatched, fmt.Sprintf("agent %d to %s: %v", relay.agent, relay.targetName, netfault.ErrTraceFull))
			}
			key := connKey{relay.server, trace.Party, trace.ServerPort()}
			if candidates := conns[key]; len(candidates) > 0 {
				traces[candidates[0]] = trace
				conns[key] = candidates[1:]
				continue
			}
			if side := trace.ServerSide(); side.Delivered > 0 && !side.WasReset {
				unmatched = append(unmatched, fmt.Sprintf("agent %d to %s: the relay delivered %d bytes on a connection that the server never accepted",
					relay.agent, relay.targetName, side.Delivered))
			}
		}
	}
	return traces, unmatched
}

// connsByKey returns the servers' connections by key. All relays of an agent to one server lead to the same listener, so only the newest
// relay is used.
func connsByKey(relays []streamRelay) map[connKey][]*countedConn {
	conns := map[connKey][]*countedConn{}
	for _, relay := range relays {
		if !relay.isNewest {
			continue
		}
		for _, c := range relay.server.snapshot() {
			if c.agent == relay.agent {
				key := connKey{relay.server, c.agent, c.port}
				conns[key] = append(conns[key], c)
			}
		}
	}
	return conns
}

// mismatches compares, for each connection, the bytes that the relay counted on its server side with the bytes that the server counted. It
// describes each difference.
func (n *relayNetwork) mismatches() []string {
	traces, out := n.matchTraces()
	for conn, trace := range traces {
		side := trace.ServerSide()
		if !conn.matches(side) {
			out = append(out, fmt.Sprintf("agent %d, port %d: the relay delivered %d bytes and received %d, the server read %d and wrote %d",
				conn.agent, conn.port, side.Delivered, side.Received, conn.readBytes.Load(), conn.writtenBytes.Load()))
		}
	}
	slices.Sort(out)
	return out
}

// matches reports whether the server and the relay agree on a connection. After a reset either side may have read less than the other side
// wrote. What the server wrote after the relay had closed its side may be lost.
func (c *countedConn) matches(side netfault.ServerSide) bool {
	read, written := c.readBytes.Load(), c.writtenBytes.Load()
	if read > side.Delivered || written < side.Received {
		return false
	}
	if side.WasReset || c.wasReset.Load() {
		return true
	}
	certainlySent := written
	if atEOF := c.writtenAtEOF.Load(); atEOF > 0 {
		certainlySent = atEOF - 1
	}
	return read == side.Delivered && side.Received >= certainlySent
}

package simprotocol

import (
	"fmt"

	"switchfork/internal/policy"
)

// watchChanges is the code of a watch that asks for all changes from now on. The policy uses no other kind of watch.
const watchChanges = 1

func encodeCommand(w *writer, instance int, command policy.Command) {
	switch c := command.(type) {
	case policy.Reject:
		w.record(kindReject, instance, func() { w.u64(c.RequestID); w.micros(c.RetryAfter) })
	case policy.LogMessage:
		w.record(kindLogMessage, instance, func() { w.bytes([]byte(c.Text)) })
	case policy.CheckHealth:
		w.record(kindCheckHealth, instance, func() { w.u32(c.EndpointID) })
	case policy.SetTimer:
		w.record(kindSetTimer, instance, func() { w.micros(c.At); w.u64(c.Token) })
	case policy.SendGossip:
		w.record(kindSendGossip, instance, func() { w.u32(uint32(c.To)); w.bytes(c.Payload) })
	case policy.CancelAttempt:
		w.record(kindCancelAttempt, instance, func() { w.u64(c.RequestID); w.u8(c.Attempt) })
	case policy.Vote:
		w.record(kindVote, instance, func() { w.u16(c.Build); w.u8(c.Stage); w.u8(int(c.Verdict)) })
	case policy.SendAttempt:
		w.record(kindSendAttempt, instance, func() { w.u64(c.RequestID); w.micros(c.Timeout); w.u32(c.EndpointID) })
	case policy.WatchEndpoints:
		w.record(kindWatchEndpoints, instance, func() { w.u8(watchChanges) })
	case policy.Fail:
		w.record(kindFail, instance, func() { w.u64(c.RequestID) })
	default:
		panic(fmt.Sprintf("no wire format for command %T", c))
	}
}

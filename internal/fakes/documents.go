package fakes

import (
	"fmt"
	"strings"
	"time"
)

// ListEntry returns an endpoint's entry in the endpoint list, as discovery writes it. The entry gives the start of the Unix epoch
// as the endpoint's start time, so the endpoint counts as long running.
func ListEntry(name, dial, health string, build int) string {
	return ListEntryStartedAt(name, dial, health, build, 0)
}

// ListEntryStartedAt returns the entry of an endpoint that started at startedAtMillis, in Unix milliseconds.
func ListEntryStartedAt(name, dial, health string, build int, startedAtMillis int64) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"suva","class":"m","block":1,"health":%q,"share":1.0,"born_ms":%d,"build":%d}`,
		name, dial, health, startedAtMillis, build)
}

// ListDocument returns a line of discovery's stream: the full list, or a change to it.
func ListDocument(sequence int, isFull bool, entries ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, sequence, isFull, strings.Join(entries, ",")) + "\n"
}

// RolloutEvent returns an update of the rollout controller's stream.
func RolloutEvent(build, stage int, phase string, trafficCap float64) string {
	return fmt.Sprintf("event: ROLLOUT\ndata: image=%d&ring=%d&progress=%s&ceiling=%g&lag_ms=9\n\n", build, stage, phase, trafficCap)
}

// RolloutJSON returns a rollout's state as the agent's configuration holds it.
func RolloutJSON(build, stage int, phase string, trafficCap float64, age time.Duration) string {
	return fmt.Sprintf(`{"image":%d,"ring":%d,"progress":%q,"ceiling":%g,"lag_ms":%d}`, build, stage, phase, trafficCap, age.Milliseconds())
}

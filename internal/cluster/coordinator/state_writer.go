package coordinator

import (
	"log/slog"

	"switchfork/internal/cluster/election"

	"github.com/VictoriaMetrics/metrics"
)

// stateWriter saves the replica's durable state. Nothing is saved after a save has failed, because the replica has then stopped
// participating. After a restart, a state saved later would be mistaken for what the replica promised before it stopped.
type stateWriter struct {
	store     Store // nil: this agent has no state folder
	hasFailed bool
	syncs     *metrics.Counter
}

func (w *stateWriter) hasStore() bool { return w.store != nil }

// save returns nil once the state is on disk, or if there is no store. It must not be called after a save has failed.
func (w *stateWriter) save(state election.DurableState) error {
	if !w.hasStore() {
		return nil
	}
	if err := w.store.Save(state); err != nil {
		w.hasFailed = true
		slog.Error("state not saved; replica stopped participating", "err", err)
		return err
	}
	w.syncs.Inc()
	return nil
}

func (w *stateWriter) close() {
	if w.hasStore() {
		_ = w.store.Close() // every saved state was synced, so nothing can be lost
	}
}

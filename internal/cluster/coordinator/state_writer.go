package coordinator

import (
	"log/slog"

	"switchfork/internal/cluster/election"

	"github.com/VictoriaMetrics/metrics"
)

// stateWriter saves the replica's durable state. Once a save has failed it saves nothing any more: the replica has been withdrawn, and
// what it would save later must not look like what it promised before.
type stateWriter struct {
	store     Store // nil: this agent has no state folder
	hasFailed bool
	syncs     *metrics.Counter
}

func (w *stateWriter) hasStore() bool { return w.store != nil }

// save returns without an error when the state is on disk, or where there is no store. It must not be called after a save has failed.
func (w *stateWriter) save(state election.DurableState) error {
	if !w.hasStore() {
		return nil
	}
	if err := w.store.Save(state); err != nil {
		w.hasFailed = true
		slog.Error("replica withdrawn: state not saved", "err", err)
		return err
	}
	w.syncs.Inc()
	return nil
}

func (w *stateWriter) close() {
	if w.hasStore() {
		_ = w.store.Close() // every Save was synced, nothing can be lost any more
	}
}

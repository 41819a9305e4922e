package proxy

import (
	"log/slog"

	"switchfork/internal/admission"
)

// AdmissionStatus is what an admission loop holds and has done.
type AdmissionStatus struct {
	admission.Status
	admission.Counters
}

// status returns the controller's state. Only the goroutine that runs Serve may call it.
func (l *AdmissionLoop) status() AdmissionStatus {
	return AdmissionStatus{l.controller.Status(), l.controller.Counters}
}

// logSummary writes a summary to the log if anything has happened since the last one.
func (l *AdmissionLoop) logSummary() {
	now := l.status()
	if now.Arrived != l.lastLogged.Arrived || now.Waiting > 0 {
		writeSummary(now, l.lastLogged)
	}
	l.lastLogged = now
}

// writeSummary logs gauges as they are, and counters as their increase since the last summary.
func writeSummary(now, last AdmissionStatus) {
	slog.Info("admission",
		"in_progress", now.InProgress,
		"limit", int(now.Limit),
		"waiting", now.Waiting,
		"kib", now.Bytes>>10,
		"arrived", now.Arrived-last.Arrived,
		"admitted", now.Admitted-last.Admitted,
		"rejoined", now.Rejoined-last.Rejoined,
		"rejected_too_late", now.Rejected[admission.TooLate]-last.Rejected[admission.TooLate],
		"rejected_no_capacity", now.Rejected[admission.NoCapacity]-last.Rejected[admission.NoCapacity],
		"reserved", now.Reserved-last.Reserved,
		"reservations_honored", now.ReservationsHonored-last.ReservationsHonored,
		"reservations_missed", now.ReservationsMissed-last.ReservationsMissed,
		"reservations_unclaimed", now.ReservationsUnclaimed-last.ReservationsUnclaimed,
		"succeeded", now.Finished[admission.Succeeded]-last.Finished[admission.Succeeded],
		"rejected", now.Finished[admission.Rejected]-last.Finished[admission.Rejected],
		"failed", now.Finished[admission.Failed]-last.Finished[admission.Failed],
	)
}

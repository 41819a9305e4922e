package proxy

import (
	"log/slog"

	"switchfork/internal/admission"
)

// AdmissionStatus holds the current state of an admission loop, and its counters since the start.
type AdmissionStatus struct {
	admission.Status
	admission.Counters
	Joined   int    // coalesced retries that wait for the reply to another request
	Returned uint64 // coalesced retries whose leader ended without a reply, which arrived anew
}

// status returns the controller's state and counters. Only the goroutine that runs Serve may call it.
func (l *AdmissionLoop) status() AdmissionStatus {
	return AdmissionStatus{l.controller.Status(), l.controller.Counters, len(l.coalesced), l.returned}
}

// logSummary logs a summary if requests have arrived since the last summary or are waiting.
func (l *AdmissionLoop) logSummary() {
	now := l.status()
	if now.Arrived != l.lastLogged.Arrived || now.Waiting > 0 {
		writeSummary(now, l.lastLogged)
	}
	l.lastLogged = now
}

// writeSummary logs gauges with their current values, and counters with their increase since the last summary.
func writeSummary(now, last AdmissionStatus) {
	slog.Info("admission",
		"in_progress", now.InProgress,
		"limit", int(now.Limit),
		"waiting", now.Waiting,
		"kib", now.Bytes>>10,
		"arrived", now.Arrived-last.Arrived,
		"admitted", now.Admitted-last.Admitted,
		"rejoined", now.Rejoined-last.Rejoined,
		"coalesced", now.Coalesced-last.Coalesced,
		"returned", now.Returned-last.Returned,
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

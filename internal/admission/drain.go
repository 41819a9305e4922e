package admission

// drain holds the time at which the process is going to shut down. The controller takes it into account whenever it decides how
// long a request may wait.
type drain struct {
	deadline Micros // 0 if no shutdown has been announced
}

func (d *drain) announce(deadline Micros) { d.deadline = max(deadline, 1) }

func (d *drain) isAnnounced() bool { return d.deadline > 0 }

// isOver reports whether the deadline has been reached.
func (d *drain) isOver(now Micros) bool { return d.isAnnounced() && now >= d.deadline }

// endsBefore reports whether the deadline is earlier than at.
func (d *drain) endsBefore(at Micros) bool { return d.isAnnounced() && at > d.deadline }

package admission

// drain is the announced end of the process. The controller asks it whenever it decides how long a request may wait.
type drain struct {
	deadline Micros // 0: no end is announced
}

func (d *drain) announce(deadline Micros) { d.deadline = max(deadline, 1) }

func (d *drain) isAnnounced() bool { return d.deadline > 0 }

// isOver reports whether the process ends now.
func (d *drain) isOver(now Micros) bool { return d.isAnnounced() && now >= d.deadline }

// endsBefore reports whether the process ends before a time.
func (d *drain) endsBefore(at Micros) bool { return d.isAnnounced() && at > d.deadline }

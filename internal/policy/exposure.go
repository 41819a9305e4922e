package policy

// windowMargin: two ticks more than the configured window, so that the rounding of its ends does not matter.
const windowMargin = 2 * busyTickInterval

// capOf is the exposure cap and stage that apply to a build, where any do.
func (s *rolloutState) capOf(build int) (buildCap float64, stage int, isCapped bool) {
	switch {
	case build > s.build: // not announced yet: as in the first stage
		return s.plan.Caps[0], 0, true
	case build == s.build && s.phase != Released:
		return s.trafficCap, s.stage, true
	}
	return 1, len(s.plan.Caps), false
}

// isWithinCap holds the cap over every window that begins within the last one, whatever comes later.
func (d *dispatcher) isWithinCap(class, build int, buildCap float64) bool {
	if buildCap < 1 {
		buildCap *= 1 - 1e-6 // the announced cap has seven digits; a whole one is exact
	}
	return d.windowOf(class).Fits(build, buildCap, d.exposureLimit.Allowance)
}

// mayUseBuild is rule 5: the exposure cap, the guarded stages, and that keys go back to no earlier build.
func (d *dispatcher) mayUseBuild(req *request, build int) bool {
	if buildCap, stage, isCapped := d.capOf(build); isCapped {
		if stage < d.plan.GuardedStages && d.classes[req.Class].Idempotency != Idempotent {
			return false
		}
		if !d.isWithinCap(req.Class, build, buildCap) {
			return false
		}
	}
	keyBuild := d.keyBuilds[req.Key]
	return req.Key == 0 || build >= keyBuild || d.rolledBack[keyBuild]
}

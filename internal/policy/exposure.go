package policy

import "switchfork/internal/exposure"

const (
	// windowMargin is added to the configured window, so that the rounding of its ends does not matter.
	windowMargin = 2 * busyTickInterval
	// capRounding is the fraction by which a cap below 1 is reduced, because the announced cap has only seven digits.
	capRounding = 1e-6
)

// buildLimit is the limit on the exposure of a build.
type buildLimit struct {
	share    float64 // highest number of attempts at the build, as a share of the requests
	stage    int
	isCapped bool // false: there is no limit, and share and stage are not set
}

// limitOf returns the limit of a build. A build that was not announced yet is limited as in the first stage.
func (s *rolloutState) limitOf(build int) buildLimit {
	switch {
	case build > s.build:
		return buildLimit{share: s.plan.Caps[0], stage: 0, isCapped: true}
	case build == s.build && s.phase != Released:
		return buildLimit{share: s.trafficCap, stage: s.stage, isCapped: true}
	}
	return buildLimit{}
}

// isCapped reports whether the exposure of a build is limited.
func (s *rolloutState) isCapped(build int) bool { return s.limitOf(build).isCapped }

// exposureGuard decides whether a request may go to a build (rule 5). It goes by the exposure cap over the window, the guarded
// stages, and the build to which the request's key is bound. attemptRules consults it for each attempt; the dispatcher records
// requests and attempts in it.
type exposureGuard struct {
	*sharedState
	rollout   *rolloutState
	classes   []RequestClass
	limit     ExposureLimit
	windows   []*exposure.Window // one per class; without PerClass, only the first one is used
	keyBuilds map[uint64]int     // the highest build that answered each key; only filled with KeysNeverGoBack
}

func newExposureGuard(shared *sharedState, rollout *rolloutState, config Config) *exposureGuard {
	guard := &exposureGuard{
		sharedState: shared,
		rollout:     rollout,
		classes:     config.Classes,
		limit:       config.ExposureLimit,
		keyBuilds:   map[uint64]int{},
	}
	for range config.Classes {
		guard.windows = append(guard.windows, &exposure.Window{})
	}
	return guard
}

// mayUse reports whether one more attempt of the request may go to a build.
func (g *exposureGuard) mayUse(req *request, build int) bool {
	if limit := g.rollout.limitOf(build); limit.isCapped {
		isGuarded := limit.stage < g.rollout.plan.GuardedStages
		if isGuarded && g.classes[req.Class].Idempotency != Idempotent {
			return false
		}
		if !g.isWithinCap(req.Class, build, limit.share) {
			return false
		}
	}
	return g.fitsKey(req.Key, build)
}

// fitsKey reports whether a key may go to a build. Once a build has answered the key, the key may not go to earlier builds, unless
// the build that answered was rolled back.
func (g *exposureGuard) fitsKey(key uint64, build int) bool {
	if key == 0 {
		return true
	}
	bound := g.keyBuilds[key]
	return build >= bound || g.rollout.rolledBack[bound]
}

// bindKey records that a build answered a key. Key 0 means no key.
func (g *exposureGuard) bindKey(key uint64, build int) {
	if key == 0 || !g.rollout.plan.KeysNeverGoBack {
		return
	}
	if build > g.keyBuilds[key] {
		g.keyBuilds[key] = build
	}
}

// isWithinCap reports whether one more attempt keeps a build within its cap over every span of time that begins within the
// exposure window and ends now. This way the cap holds regardless of what arrives later.
func (g *exposureGuard) isWithinCap(class, build int, share float64) bool {
	if share < 1 { // a cap of 1 is exact
		share *= 1 - capRounding
	}
	return g.windowOf(class).Fits(build, share, g.limit.Allowance)
}

func (g *exposureGuard) recordRequest(class int) {
	g.windowOf(class).RecordRequest(g.now, g.windowStart())
}

// recordAttempt counts an attempt if the build's exposure is limited.
func (g *exposureGuard) recordAttempt(class, build int) {
	if g.rollout.isCapped(build) {
		g.windowOf(class).RecordAttempt(g.now, g.windowStart(), build)
	}
}

// windowOf returns the exposure window that applies to a class.
func (g *exposureGuard) windowOf(class int) *exposure.Window {
	if g.limit.PerClass {
		return g.windows[class]
	}
	return g.windows[0]
}

// windowStart returns the time from which on requests and attempts count.
func (g *exposureGuard) windowStart() Micros { return g.now - g.limit.Window - windowMargin }

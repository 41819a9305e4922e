package agent

import (
	"slices"
	"sort"

	"switchfork/internal/policy"
)

// timerQueue holds the timers that the policy has set, sorted by At. Timers with equal At stay in the order in which they
// were set. The loop's goroutine owns it.
type timerQueue []policy.SetTimer

func (q *timerQueue) set(timer policy.SetTimer) {
	index := sort.Search(len(*q), func(i int) bool { return (*q)[i].At > timer.At })
	*q = slices.Insert(*q, index, timer)
}

// next returns when the first timer expires; found is false if there is none.
func (q *timerQueue) next() (at policy.Micros, found bool) {
	if len(*q) == 0 {
		return 0, false
	}
	return (*q)[0].At, true
}

// popExpired removes and returns the first timer if it has expired.
func (q *timerQueue) popExpired(now policy.Micros) (timer policy.SetTimer, found bool) {
	if len(*q) == 0 || (*q)[0].At > now {
		return policy.SetTimer{}, false
	}
	timer = (*q)[0]
	*q = slices.Delete(*q, 0, 1)
	return timer, true
}

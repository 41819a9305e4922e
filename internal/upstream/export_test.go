package upstream

import (
	"syscall"
	"time"

	"switchfork/internal/connlimit"
)

// The tests of this package use an event loop, which imports it; so they stand outside, and reach it by these.

// SetDialControl sets what is called before each connection is opened.
func (p *Pool) SetDialControl(control func(network, address string, c syscall.RawConn) error) {
	p.dial.Control = control
}

// SetIdleTimeout sets the time after which an endpoint may close an idle connection.
func (p *Pool) SetIdleTimeout(timeout time.Duration) { p.idle = timeout }

// SetSettleTime sets how long a connection rests after an answer.
func (p *Pool) SetSettleTime(settle time.Duration) { p.settleTime = settle }

// SetBudget sets the connection budget.
func (p *Pool) SetBudget(budget *connlimit.Budget) { p.budget = budget }

// ResponseGap is the longest that a begun response may pause.
const ResponseGap = answerWait

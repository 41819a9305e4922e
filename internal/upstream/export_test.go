package upstream

import (
	"syscall"
	"time"

	"switchfork/internal/connlimit"
)

// The tests of this package use the event loop of package agent, which imports this package: so they are in package upstream_test, and
// set by these functions what only tests change.

// SetDialControl sets what is called before each connection is opened.
func (p *Pool) SetDialControl(control func(network, address string, conn syscall.RawConn) error) {
	p.dialer.Control = control
}

// SetIdleTimeout sets the time after which an endpoint may close an idle connection.
func (p *Pool) SetIdleTimeout(timeout time.Duration) { p.config.IdleTimeout = timeout }

// SetSettleTime sets how long a connection rests after a response.
func (p *Pool) SetSettleTime(settle time.Duration) { p.config.SettleTime = settle }

// SetBudget sets the connection budget.
func (p *Pool) SetBudget(budget *connlimit.Budget) { p.config.Budget = budget }

// MaxResponseGap is the longest that a response may pause once it has begun.
const MaxResponseGap = maxResponseGap

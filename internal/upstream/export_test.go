package upstream

import (
	"syscall"
	"time"

	"switchfork/internal/connlimit"
)

// Tests that use the event loop of package agent have to be in package upstream_test, because package agent imports this package. The
// functions below let those tests change settings that only tests change.

// SetDialControl sets the function that is called before each connection is opened.
func (p *Pool) SetDialControl(control func(network, address string, conn syscall.RawConn) error) {
	p.dialer.Control = control
}

// SetIdleTimeout sets the time after which an endpoint may close an idle connection.
func (p *Pool) SetIdleTimeout(timeout time.Duration) { p.config.IdleTimeout = timeout }

// SetSettleTime sets how long a connection stays unused after a response.
func (p *Pool) SetSettleTime(settle time.Duration) { p.config.SettleTime = settle }

// SetBudget sets the connection budget.
func (p *Pool) SetBudget(budget *connlimit.Budget) { p.config.Budget = budget }

// MaxResponseGap is the longest pause within a response that has begun.
const MaxResponseGap = maxResponseGap

package policy

import "testing"

func TestRejectedClientKeepsItsFirstTime(t *testing.T) {
	clients := newRejectedClients()
	clients.reject(rejectedClient{rejectedAt: 20, acceptedAt: 10, clientHash: 7})
	if got := clients.returned(7, 30); got != 10 {
		t.Errorf("a client that comes back was accepted at %d, want 10", got)
	}
	if clients.returnRate <= initialReturnRate {
		t.Errorf("the return rate is %v after a client came back, want more than %v", clients.returnRate, initialReturnRate)
	}
	if got := clients.returned(7, 40); got != 40 {
		t.Errorf("the next request of the client was accepted at %d, want 40", got)
	}
}

func TestClientsThatStayAwayLowerTheReturnRate(t *testing.T) {
	clients := newRejectedClients()
	clients.reject(rejectedClient{rejectedAt: 20, acceptedAt: 10, clientHash: 7})
	clients.expire(20)
	if len(clients.queue) != 1 {
		t.Error("a client that was rejected at the very time is forgotten")
	}
	clients.expire(21)
	if clients.returnRate >= initialReturnRate {
		t.Errorf("the return rate is %v after a client stayed away, want less than %v", clients.returnRate, initialReturnRate)
	}
	if kept := len(clients.queue) + len(clients.byHash); kept != 0 {
		t.Errorf("%d records of a client that stayed away are kept", kept)
	}
}

package policy

import "testing"

func TestRejectedClientKeepsItsFirstTime(t *testing.T) {
	clients := newRejectedClients()
	clients.reject(rejectedClient{rejectedAt: 20, acceptedAt: 10, clientHash: 7})
	if got := clients.firstArrival(7, 30); got != 10 {
		t.Errorf("first arrival of a returning client: got %d, want 10", got)
	}
	if clients.returnRate <= initialReturnRate {
		t.Errorf("return rate after a client came back: got %v, want more than %v", clients.returnRate, initialReturnRate)
	}
	if got := clients.firstArrival(7, 40); got != 40 {
		t.Errorf("first arrival of the client's next request: got %d, want 40", got)
	}
}

func TestClientsThatStayAwayLowerTheReturnRate(t *testing.T) {
	clients := newRejectedClients()
	clients.reject(rejectedClient{rejectedAt: 20, acceptedAt: 10, clientHash: 7})
	clients.expire(20)
	if len(clients.queue) != 1 {
		t.Error("expire(20) removed a client that was rejected at 20, want it kept")
	}
	clients.expire(21)
	if clients.returnRate >= initialReturnRate {
		t.Errorf("return rate after a client did not come back: got %v, want less than %v", clients.returnRate, initialReturnRate)
	}
	if kept := len(clients.queue) + len(clients.byHash); kept != 0 {
		t.Errorf("records of a client that did not come back: got %d, want 0", kept)
	}
}

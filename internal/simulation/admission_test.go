package simulation

import (
	"reflect"
	"testing"
)

func quietScenario() AdmissionScenario {
	return AdmissionScenario{
		Seed: 3, Seconds: 8, Endpoints: 6, Slots: 4, MeanWork: 40_000, Load: 0.6,
		TenantShares: []float64{0.5, 0.3, 0.2}, NoiseFactor: 1, OneOffClients: 200,
	}
}

// The same scenario gives the same result each time.
func TestAdmissionRunIsDeterministic(t *testing.T) {
	noisy := quietScenario()
	noisy.NoisyTenants, noisy.NoiseFactor = []int{0}, 10
	a, b := PlayAdmission(noisy, FairQueues), PlayAdmission(noisy, FairQueues)
	for i := range a.Tenants {
		a.Tenants[i].Latency, b.Tenants[i].Latency = nil, nil
	}
	if !reflect.DeepEqual(a, b) {
		t.Errorf("two runs of the same scenario gave %+v and %+v", a, b)
	}
}

// Without a noisy tenant no request is rejected and none fails, so the model itself loses no requests.
func TestQuietScenarioServesAll(t *testing.T) {
	for _, policy := range []AdmissionPolicy{FairQueues, FairQueuesNoReservations, FIFO} {
		for i, a := range PlayAdmission(quietScenario(), policy).Tenants {
			if a.Offered < 100 || a.Rejected+a.GivenUp > 0 || a.InTime < a.Offered*99/100 {
				t.Errorf("%s: tenant %d got %+v, want at least 100 requests, none rejected or given up, and at least 99%% in time", policy, i, a)
			}
		}
	}
}

// While one tenant sends 20 times its share, the requests of the other tenants succeed in time under fair queues. Under FIFO
// they do not, which shows that the scenario detects a lack of isolation.
func TestFairQueuesIsolateFlood(t *testing.T) {
	noisy := quietScenario()
	noisy.NoisyTenants, noisy.NoiseFactor, noisy.UniqueNoisyClients = []int{0}, 20, true
	leastInTime := func(policy AdmissionPolicy) (least float64) {
		least = 1
		for _, a := range PlayAdmission(noisy, policy).Tenants[1:] {
			least = min(least, float64(a.InTime)/float64(a.Offered))
		}
		return least
	}
	if got := leastInTime(FairQueues); got < 0.97 {
		t.Errorf("under fair queues the lowest fraction of requests in time of the other tenants is %.3f, want at least 0.97", got)
	}
	if got := leastInTime(FIFO); got > 0.6 {
		t.Errorf("under FIFO the lowest fraction of requests in time of the other tenants is %.3f, want at most 0.6", got)
	}
}

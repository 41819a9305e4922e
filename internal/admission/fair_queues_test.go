package admission

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Two tenants that always have waiting requests are served by their weights. The weighted cost of a request is its cost divided by the
// tenant's weight. Whatever the requests cost, the total weighted costs served for the two tenants differ at most by the sum of the weighted
// costs of each tenant's most expensive request.
func TestCostIsSharedByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := []float64{rapid.Float64Range(0.1, 1).Draw(t, "w0"), rapid.Float64Range(0.1, 1).Draw(t, "w1")}
		c := newTestController(weights, Limits{Requests: 4000, Bytes: 1 << 30, Queues: 8}, false)
		c.concurrency.current, c.concurrency.inSlowStart = 1, false
		c.costs.meanResponseTime = float64(millisecond)
		costs, largest, id := map[uint64]float64{}, [2]float64{}, uint64(0)
		feed := func(tenant int) {
			for c.waiting.queues.tenants[tenant].waitingCount < 30 {
				id++
				cost := rapid.Int64Range(20*millisecond, 60*millisecond).Draw(t, "cost")
				costs[id], largest[tenant] = float64(cost)/weights[tenant], max(largest[tenant], float64(cost)/weights[tenant])
				c.arrive(Arrival{ID: id, Tenant: tenant, Client: id % uint64(3+20*tenant), CostHint: cost, Deadline: c.now + 1000*second})
			}
		}
		c.costs.classes[unkeyedClass].LatencyObjective = 1000 * second
		c.costs.meanCosts[unkeyedClass] = float64(40 * millisecond)
		served, tenantOf := [2]float64{}, map[uint64]int{}
		for range 150 {
			for tenant := range 2 {
				before := id
				feed(tenant)
				for n := before + 1; n <= id; n++ {
					tenantOf[n] = tenant
				}
			}
			last := c.admitted[len(c.admitted)-1]
			served[tenantOf[last]] += costs[last]
			c.finish(last, Succeeded)
			c.concurrency.current = 1
			if gap := math.Abs(served[0] - served[1]); gap > largest[0]+largest[1]+1 {
				t.Fatalf("weighted served costs %v differ by %.0f, want at most the sum of the most expensive requests %v", served, gap, largest)
			}
		}
	})
}

// When a limit is exceeded, a request of the tenant that exceeds its share is evicted, even if another tenant's request arrived last.
func TestOverloadEvictsFromTenantOverItsShare(t *testing.T) {
	c := newTestController([]float64{0.5, 0.5}, Limits{Requests: 40, Bytes: 1 << 20, Queues: 8}, false)
	fixLimit(c, 10)
	id := flood(c, 0, 40, 1)
	for i := range 5 {
		c.arrive(Arrival{ID: id + uint64(i), Tenant: 1, Client: uint64(i), CostHint: 20 * millisecond})
	}
	if c.Tenant(1).Waiting != 5 {
		t.Errorf("got %d waiting requests of the tenant within its share, want 5; rejections by reason: %v", c.Tenant(1).Waiting, c.Counters.Rejected)
	}
	for i := range 5 {
		if command, found := c.rejected[id+uint64(i)]; found {
			t.Errorf("a request of the tenant within its share was rejected: %+v", command)
		}
	}
}

// One noisy client of a tenant does not delay the tenant's other clients.
func TestNoisyClientIsIsolated(t *testing.T) {
	c := newTestController([]float64{1}, Limits{Requests: 2000, Bytes: 1 << 30, Queues: 64}, false)
	fixLimit(c, 4)
	c.costs.classes = []RequestClass{{LatencyObjective: 1000 * second, Timeout: 1000 * second, PriorityWeight: 1}}
	for id := uint64(1); id <= 400; id++ {
		c.arrive(Arrival{ID: id, Client: 1, CostHint: 20 * millisecond, Deadline: 1000 * second})
	}
	affected := 0
	for client := uint64(2); client < 102; client++ {
		c.arrive(Arrival{ID: 1000 + client, Client: client, CostHint: 20 * millisecond, Deadline: 1000 * second})
		if queue := c.requests.get(1000 + client).queuePlace.queue; queue.length > 20 {
			affected++
		}
	}
	if affected > 2 {
		t.Errorf("got %d of 100 clients waiting behind the noisy one, want 2 at most", affected)
	}
}

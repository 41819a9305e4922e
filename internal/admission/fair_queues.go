package admission

import (
	"slices"

	"switchfork/internal/hashing"
)

const (
	// shardSize is the number of its tenant's queues that a client may be put into (shuffle sharding); it is put into the
	// least loaded of them. Few pairs of clients have all of them in common, so a client that floods delays hardly any other,
	// and it fills four queues at the most.
	shardSize = 4
	// unknownTenantsWeight is the weight of all unknown tenants together, where configured weights add up to about one.
	unknownTenantsWeight = 0.05
	// minTenantWeight keeps divisions by a weight finite.
	minTenantWeight = 1e-6
)

// fairQueues decides the order in which waiting requests are admitted, and which of them is evicted: from the tenants'
// weights, the requests' costs and the request classes' priority weights. Tenants share by start-time fair queueing, and so do
// each tenant's queues, over which its clients are spread. waitingRequests calls it; the controller reads what waits.
type fairQueues struct {
	tenants         []*tenantQueues // the last one stands for all unknown tenants
	tenantScheduler fairScheduler[*tenantQueues]
	classPriorities []int // by class; 0 is served first
	priorityCount   int
	hashSeed        uint64 // keeps clients from choosing their queues
}

// tenantQueues is one tenant, a flow among the tenants, with the fixed number of queues over which its clients are spread.
type tenantQueues struct {
	flow           fairFlow[*tenantQueues]
	weight         float64
	queueScheduler fairScheduler[*clientQueue]
	queues         []clientQueue
	waitingCount   int
	waitingCost    float64
	admittedCost   float64 // since the start
}

// queuePlace is where fairQueues holds a request.
type queuePlace struct {
	tenant   *tenantQueues
	queue    *clientQueue
	priority int             // index of the queue's list
	previous *trackedRequest // in that list, as next
	next     *trackedRequest
}

func newFairQueues(config Config, hashSeed uint64) fairQueues {
	levels, levelCount := priorityLevels(config.Classes)
	q := fairQueues{
		tenantScheduler: newFairScheduler[*tenantQueues](len(config.Tenants) + 1),
		classPriorities: levels,
		priorityCount:   levelCount,
		hashSeed:        hashSeed,
	}
	for _, tenant := range config.Tenants {
		q.tenants = append(q.tenants, newTenantQueues(max(tenant.Weight, minTenantWeight), config.Limits.Queues))
	}
	q.tenants = append(q.tenants, newTenantQueues(unknownTenantsWeight, config.Limits.Queues))
	return q
}

func newTenantQueues(weight float64, queues int) *tenantQueues {
	tenant := &tenantQueues{
		weight:         weight,
		queueScheduler: newFairScheduler[*clientQueue](queues),
		queues:         make([]clientQueue, queues),
	}
	tenant.flow.owner = tenant
	tenant.flow.heapIndex = -1
	return tenant
}

// priorityLevels ranks the request classes by priority weight: 0 is the highest, and classes of equal weight share a level.
func priorityLevels(classes []RequestClass) (levels []int, count int) {
	var weights []float64
	for _, class := range classes {
		weights = append(weights, class.PriorityWeight)
	}
	slices.Sort(weights)
	slices.Reverse(weights)
	weights = slices.Compact(weights)
	levels = make([]int, len(classes))
	for i, class := range classes {
		levels[i] = slices.Index(weights, class.PriorityWeight)
	}
	return levels, max(1, len(weights))
}

// setWeights changes the weights of the configured tenants, which keep their indices.
func (q *fairQueues) setWeights(tenants []Tenant) {
	for i, tenant := range tenants {
		if i < q.unknownTenant() {
			q.tenants[i].weight = max(tenant.Weight, minTenantWeight)
		}
	}
}

// unknownTenant returns the index that stands for all tenants that were not configured.
func (q *fairQueues) unknownTenant() int { return len(q.tenants) - 1 }

// enqueue puts a request at the end of one of its tenant's queues.
func (q *fairQueues) enqueue(request *trackedRequest) {
	tenant := q.tenants[request.Tenant]
	queue := q.chooseQueue(tenant, request.Client)
	request.queuePlace = queuePlace{tenant: tenant, queue: queue, priority: q.classPriorities[request.Class]}
	if queue.length == 0 {
		tenant.queueScheduler.activate(&queue.flow)
	}
	if tenant.waitingCount == 0 {
		q.tenantScheduler.activate(&tenant.flow)
	}
	queue.append(request)
	tenant.waitingCount++
	tenant.waitingCost += request.cost
}

// chooseQueue returns the least loaded of the queues that a client may be put into.
func (q *fairQueues) chooseQueue(tenant *tenantQueues, client uint64) *clientQueue {
	var leastLoaded *clientQueue
	hash := hashing.Mix64(q.hashSeed ^ client)
	for range shardSize {
		queue := &tenant.queues[hash%uint64(len(tenant.queues))]
		if leastLoaded == nil || queue.cost < leastLoaded.cost {
			leastLoaded = queue
		}
		hash = hashing.Mix64(hash)
	}
	if leastLoaded.priorities == nil {
		leastLoaded.init(q.priorityCount)
	}
	return leastLoaded
}

// next takes out the request that is served next and charges its flows; nil: all queues are empty.
func (q *fairQueues) next() *trackedRequest {
	if len(q.tenantScheduler.active) == 0 {
		return nil
	}
	tenant := q.tenantScheduler.active[0].flow.owner
	queue := tenant.queueScheduler.active[0].flow.owner
	request := queue.first()
	q.unlink(request)
	q.charge(request)
	return request
}

// remove takes a request out of its queue without a charge.
func (q *fairQueues) remove(request *trackedRequest) {
	q.unlink(request)
	tenant, queue := request.queuePlace.tenant, request.queuePlace.queue
	if queue.length == 0 {
		tenant.queueScheduler.deactivate(&queue.flow)
	}
	if tenant.waitingCount == 0 {
		q.tenantScheduler.deactivate(&tenant.flow)
	}
}

// unlink takes a request out of its queue and the tenant's sums, and leaves the flows as they are.
func (q *fairQueues) unlink(request *trackedRequest) {
	request.queuePlace.queue.remove(request)
	tenant := request.queuePlace.tenant
	tenant.waitingCount--
	tenant.waitingCost -= request.cost
	if tenant.waitingCount == 0 {
		tenant.waitingCost = 0 // rounding errors must not add up
	}
}

// charge charges a request's queue and tenant for its admission, after the request was taken out.
func (q *fairQueues) charge(request *trackedRequest) {
	tenant, queue := request.queuePlace.tenant, request.queuePlace.queue
	tenant.queueScheduler.charge(&queue.flow, request.cost, queue.length > 0)
	q.tenantScheduler.charge(&tenant.flow, request.cost/tenant.weight, tenant.waitingCount > 0)
	tenant.admittedCost += request.cost
}

// replace puts a request into the place of another one that waits.
func (q *fairQueues) replace(old, request *trackedRequest) {
	tenant := q.tenants[request.Tenant]
	queue := old.queuePlace.queue
	request.queuePlace = queuePlace{tenant: tenant, queue: queue, priority: old.queuePlace.priority}
	queue.priorities[old.queuePlace.priority].replace(old, request)
	queue.cost += request.cost - old.cost
	tenant.waitingCost += request.cost - old.cost
}

// evictionCandidate returns the request to reject when a limit is reached: the newest one of the lowest priority in the
// most loaded queue of the tenant that waits with most beyond its share. It is nil where all queues are empty.
// The request that arrived last is not the one at fault for having come last.
func (q *fairQueues) evictionCandidate() *trackedRequest {
	var worst *tenantQueues
	for _, tenant := range q.tenants {
		if tenant.waitingCount > 0 && (worst == nil || tenant.weightedWaitingCost() > worst.weightedWaitingCost()) {
			worst = tenant
		}
	}
	if worst == nil {
		return nil
	}
	return worst.mostLoadedQueue().last()
}

func (t *tenantQueues) weightedWaitingCost() float64 { return t.waitingCost / t.weight }

// mostLoadedQueue returns the queue of the highest cost; nil: no request of the tenant waits.
func (t *tenantQueues) mostLoadedQueue() *clientQueue {
	var mostLoaded *clientQueue
	for _, entry := range t.queueScheduler.active {
		if queue := entry.flow.owner; mostLoaded == nil || queue.cost > mostLoaded.cost {
			mostLoaded = queue
		}
	}
	return mostLoaded
}

// costAhead returns the cost of its tenant's requests that are served before a queued request: those of its own queue, and
// a like amount in each other queue of its tenant, as they take turns.
func (q *fairQueues) costAhead(request *trackedRequest) float64 {
	tenant, queue := request.queuePlace.tenant, request.queuePlace.queue
	// The queue's start tag is that far ahead of the virtual time, and the other queues that hold requests advance alike.
	tagDistance := queue.flow.startTag - tenant.queueScheduler.virtualTime
	aheadInQueue := max(0, tagDistance+queue.costThrough(request)-request.cost)
	return min(tenant.waitingCost-request.cost, aheadInQueue*float64(len(tenant.queueScheduler.active)))
}

// shareOfRate returns the part of a rate that a tenant gets while all tenants that have requests waiting get theirs.
func (q *fairQueues) shareOfRate(tenantIndex int, rate float64) float64 {
	totalWeight := 0.0
	for _, entry := range q.tenantScheduler.active {
		totalWeight += entry.flow.owner.weight
	}
	tenant := q.tenants[tenantIndex]
	if tenant.flow.heapIndex < 0 {
		totalWeight += tenant.weight
	}
	return rate * tenant.weight / totalWeight
}

package admission

import (
	"slices"

	"switchfork/internal/hashing"
)

const (
	// shardSize is how many of a tenant's queues the requests of one client may be put in (shuffle sharding). Each request goes
	// into the least loaded of these queues. Few pairs of clients share all of their queues, so a client that floods delays hardly
	// any other client. Such a client fills at most four queues.
	shardSize = 4
	// unknownTenantsWeight is the combined weight of all unknown tenants. The configured weights add up to about one.
	unknownTenantsWeight = 0.05
	// minTenantWeight is the lowest weight of a tenant. It keeps divisions by a weight finite.
	minTenantWeight = 1e-6
)

// fairQueues decides the order in which waiting requests are admitted, and which of them is evicted. It uses the weights of
// tenants, the costs of requests and the priority weights of request classes. Start-time fair queueing divides the capacity
// among the tenants, and each tenant's capacity among its queues. Clients are distributed over the queues of their tenant.
// waitingRequests adds and removes requests; the controller sets the weights, and reads counts and costs.
type fairQueues struct {
	tenants         []*tenantQueues // by tenant index; the last one holds the requests of all unknown tenants
	tenantScheduler fairScheduler[*tenantQueues]
	classPriorities []int // by class; priority 0 is served first
	priorityCount   int
	hashSeed        uint64 // secret, so that clients cannot choose their queues
}

// tenantQueues holds the queues of one tenant, over which its clients are distributed. The number of queues is fixed. The
// tenant is a flow in tenantScheduler.
type tenantQueues struct {
	flow           fairFlow[*tenantQueues]
	weight         float64
	queueScheduler fairScheduler[*clientQueue]
	queues         []clientQueue
	waitingCount   int
	waitingCost    float64
	admittedCost   float64 // total cost of the requests admitted since the process started
}

// queuePlace is the place of a request in fairQueues.
type queuePlace struct {
	tenant   *tenantQueues
	queue    *clientQueue
	priority int             // index into queue.priorities
	previous *trackedRequest // previous request in the list of this priority
	next     *trackedRequest // next request in the list of this priority
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

// priorityLevels returns the priority of each request class, and the number of different priorities. The class with the highest
// priority weight has priority 0. Classes of equal weight have equal priorities.
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

// setWeights changes the weights of the configured tenants, by tenant index.
func (q *fairQueues) setWeights(tenants []Tenant) {
	for i, tenant := range tenants {
		if i < q.unknownTenant() {
			q.tenants[i].weight = max(tenant.Weight, minTenantWeight)
		}
	}
}

// unknownTenant returns the index that is used for all tenants that are not configured.
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

// chooseQueue returns the least loaded of the queues that a client's requests may be put in.
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

// dequeue removes the request to serve next, charges its queue and its tenant, and returns it. It returns nil if all queues are
// empty.
func (q *fairQueues) dequeue() *trackedRequest {
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

// remove removes a request from its queue without charging its queue and its tenant.
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

// unlink removes a request from its queue and from the tenant's count and cost. It does not change the schedulers.
func (q *fairQueues) unlink(request *trackedRequest) {
	request.queuePlace.queue.remove(request)
	tenant := request.queuePlace.tenant
	tenant.waitingCount--
	tenant.waitingCost -= request.cost
	if tenant.waitingCount == 0 {
		tenant.waitingCost = 0 // so that rounding errors do not accumulate
	}
}

// charge charges a request's queue and tenant for its admission. The request has been removed from its queue before.
func (q *fairQueues) charge(request *trackedRequest) {
	tenant, queue := request.queuePlace.tenant, request.queuePlace.queue
	tenant.queueScheduler.charge(&queue.flow, request.cost, queue.length > 0)
	q.tenantScheduler.charge(&tenant.flow, request.cost/tenant.weight, tenant.waitingCount > 0)
	tenant.admittedCost += request.cost
}

// replace puts request in the place of old, which is queued.
func (q *fairQueues) replace(old, request *trackedRequest) {
	tenant := q.tenants[request.Tenant]
	queue := old.queuePlace.queue
	request.queuePlace = queuePlace{tenant: tenant, queue: queue, priority: old.queuePlace.priority}
	queue.priorities[old.queuePlace.priority].replace(old, request)
	queue.cost += request.cost - old.cost
	tenant.waitingCost += request.cost - old.cost
}

// evictionCandidate returns the request to reject when a limit is exceeded, or nil if all queues are empty. It picks the tenant
// with the highest waiting cost relative to its weight, then the most loaded queue of that tenant, then the newest request of
// the lowest priority there. The request that arrived last need not belong to the tenant that causes the overload, so it is not
// rejected just for being the last.
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

// mostLoadedQueue returns the tenant's queue with the highest cost, or nil if the tenant has no waiting request.
func (t *tenantQueues) mostLoadedQueue() *clientQueue {
	var mostLoaded *clientQueue
	for _, entry := range t.queueScheduler.active {
		if queue := entry.flow.owner; mostLoaded == nil || queue.cost > mostLoaded.cost {
			mostLoaded = queue
		}
	}
	return mostLoaded
}

// costAhead estimates the cost of the requests of the same tenant that are served before a queued request: the cost ahead of
// the request in its queue, and as much again for each other queue with requests, since the queues are served in turn.
func (q *fairQueues) costAhead(request *trackedRequest) float64 {
	tenant, queue := request.queuePlace.tenant, request.queuePlace.queue
	// The queue is served when the virtual time reaches the queue's start tag. Until then, about this much cost is served from
	// each other queue that has requests.
	tagDistance := queue.flow.startTag - tenant.queueScheduler.virtualTime
	aheadInQueue := max(0, tagDistance+queue.costThrough(request)-request.cost)
	return min(tenant.waitingCost-request.cost, aheadInQueue*float64(len(tenant.queueScheduler.active)))
}

// shareOfRate divides rate by weight among a tenant and all other tenants that have waiting requests, and returns the tenant's
// share.
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

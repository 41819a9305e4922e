package admission

import (
	"slices"

	"switchfork/internal/hashing"
)

// tenantState is the record of one tenant: a flow among the tenants, and a fixed number of queues over which its clients are
// spread.
type tenantState struct {
	flow           fairFlow[*tenantState]
	weight         float64
	queueScheduler fairScheduler[*clientQueue]
	queues         []clientQueue
	waitingCount   int
	waitingCost    float64
	admittedCost   float64 // since the start
}

// clientQueue is one queue of a tenant: a flow among the tenant's queues.
type clientQueue struct {
	flow       fairFlow[*clientQueue]
	priorities []requestList // served in this order; nil until the queue is first used
	length     int
	cost       float64
}

// requestList holds the requests of one queue and priority in the order of their arrival.
type requestList struct{ head, tail *trackedRequest }

func newTenantState(weight float64, queues int) *tenantState {
	tenant := &tenantState{
		weight:         weight,
		queueScheduler: newFairScheduler[*clientQueue](queues),
		queues:         make([]clientQueue, queues),
	}
	tenant.flow.owner = tenant
	tenant.flow.heapIndex = -1
	return tenant
}

// shardSize is the number of its tenant's queues that a client may be put into (shuffle sharding); it is put into the
// least loaded of them. Few pairs of clients have all of them in common, so a client that floods delays hardly any other, and it
// holds four queues at the most.
const shardSize = 4

// chooseQueue returns the queue for a request.
func (c *Controller) chooseQueue(request *trackedRequest) *clientQueue {
	queues := request.tenant.queues
	var leastLoaded *clientQueue
	hash := hashing.Mix64(c.hashSeed ^ request.Client)
	for range shardSize {
		queue := &queues[hash%uint64(len(queues))]
		if leastLoaded == nil || queue.cost < leastLoaded.cost {
			leastLoaded = queue
		}
		hash = hashing.Mix64(hash)
	}
	if leastLoaded.priorities == nil {
		leastLoaded.priorities = make([]requestList, c.priorityCount)
		leastLoaded.flow.owner = leastLoaded
		leastLoaded.flow.heapIndex = -1
	}
	return leastLoaded
}

// enqueue puts a request at the end of its queue, and into the timing wheel where it is not in it yet.
func (c *Controller) enqueue(request *trackedRequest) {
	request.state = stateWaiting
	if request.queue == nil {
		request.queue = c.chooseQueue(request)
	}
	queue, tenant := request.queue, request.tenant
	queue.priorities[request.priority].append(request)
	if queue.length == 0 {
		tenant.queueScheduler.activate(&queue.flow)
	}
	if tenant.waitingCount == 0 {
		c.tenantScheduler.activate(&tenant.flow)
	}
	queue.length++
	queue.cost += request.cost
	tenant.waitingCount++
	tenant.waitingCost += request.cost
	c.waitingCount++
	if request.deadlineTick < 0 {
		c.deadlines.add(request)
	}
}

// dequeue takes a waiting request out of its queue without a charge.
func (c *Controller) dequeue(request *trackedRequest) {
	c.unlink(request)
	if request.queue.length == 0 {
		request.tenant.queueScheduler.deactivate(&request.queue.flow)
	}
	if request.tenant.waitingCount == 0 {
		c.tenantScheduler.deactivate(&request.tenant.flow)
	}
}

// dequeueNext takes the next request in fair order out of its queue and charges its flows; nil: none waits.
func (c *Controller) dequeueNext() *trackedRequest {
	if len(c.tenantScheduler.active) == 0 {
		return nil
	}
	tenant := c.tenantScheduler.active[0].flow.owner
	queue := tenant.queueScheduler.active[0].flow.owner
	request := queue.first()
	c.unlink(request)
	c.chargeFlows(request)
	return request
}

// unlink takes a request out of its list, the timing wheel and the counts, and leaves the flows as they are.
func (c *Controller) unlink(request *trackedRequest) {
	queue, tenant := request.queue, request.tenant
	queue.priorities[request.priority].remove(request)
	queue.length--
	queue.cost -= request.cost
	if queue.length == 0 {
		queue.cost = 0 // rounding errors must not add up
	}
	tenant.waitingCount--
	tenant.waitingCost -= request.cost
	if tenant.waitingCount == 0 {
		tenant.waitingCost = 0
	}
	c.waitingCount--
	if request.deadlineTick >= 0 {
		c.deadlines.remove(request)
	}
}

// replaceInQueue puts a request into the place of another one that waits.
func (c *Controller) replaceInQueue(old, request *trackedRequest) {
	request.queue, request.priority = old.queue, old.priority
	request.queue.priorities[request.priority].replace(old, request)
	request.queue.cost += request.cost - old.cost
	request.tenant.waitingCost += request.cost - old.cost
	c.deadlines.remove(old)
	c.deadlines.add(request)
}

// chargeFlows charges a request's queue and tenant for its admission.
func (c *Controller) chargeFlows(request *trackedRequest) {
	tenant, queue := request.tenant, request.queue
	tenant.queueScheduler.charge(&queue.flow, request.cost, queue.length > 0)
	c.tenantScheduler.charge(&tenant.flow, request.cost/tenant.weight, tenant.waitingCount > 0)
	tenant.admittedCost += request.cost
}

// evictionCandidate returns the request to reject when a limit is reached: the newest one of the lowest priority in the
// most loaded queue of the tenant that waits with most beyond its share. It is nil where no queue holds a request.
// The request that arrived last is not the one at fault for having come last.
func (c *Controller) evictionCandidate() *trackedRequest {
	var worst *tenantState
	for _, tenant := range c.tenants {
		if tenant.waitingCount > 0 && (worst == nil || tenant.waitingCost/tenant.weight > worst.waitingCost/worst.weight) {
			worst = tenant
		}
	}
	if worst == nil {
		return nil
	}
	var mostLoaded *clientQueue
	for _, entry := range worst.queueScheduler.active {
		if queue := entry.flow.owner; mostLoaded == nil || queue.cost > mostLoaded.cost {
			mostLoaded = queue
		}
	}
	return mostLoaded.last()
}

// first returns the request that the queue serves next; nil: it is empty.
func (q *clientQueue) first() *trackedRequest {
	for i := range q.priorities {
		if request := q.priorities[i].head; request != nil {
			return request
		}
	}
	return nil
}

// last returns the request that the queue would serve last; nil: it is empty.
func (q *clientQueue) last() *trackedRequest {
	for i := len(q.priorities) - 1; i >= 0; i-- {
		if request := q.priorities[i].tail; request != nil {
			return request
		}
	}
	return nil
}

func (l *requestList) append(request *trackedRequest) {
	request.previous, request.next = l.tail, nil
	if l.tail != nil {
		l.tail.next = request
	} else {
		l.head = request
	}
	l.tail = request
}

func (l *requestList) remove(request *trackedRequest) {
	if request.previous != nil {
		request.previous.next = request.next
	} else {
		l.head = request.next
	}
	if request.next != nil {
		request.next.previous = request.previous
	} else {
		l.tail = request.previous
	}
	request.previous, request.next = nil, nil
}

func (l *requestList) replace(old, request *trackedRequest) {
	request.previous, request.next = old.previous, old.next
	if request.previous != nil {
		request.previous.next = request
	} else {
		l.head = request
	}
	if request.next != nil {
		request.next.previous = request
	} else {
		l.tail = request
	}
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

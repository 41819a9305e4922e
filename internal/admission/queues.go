package admission

// This file owns the order in which txns go in: start-time fair queueing among tenants, and within a tenant among a
// fixed number of queues that its clients are spread over. A flow's start is the later of the level's present and its own
// last finish, so that an idle one saves up nothing; the lowest start goes next, and pays its work over its weight.

// fairFlow is a tenant, or a queue of one, as its level sees it.
type fairFlow struct {
	startTag, finishTag float64
	heapIndex           int // in the heap of those who have something; -1: has nothing
	owner               any
}

// fairScheduler is one level of fairness: a heap by start with four below each, whose starts stand in it. Of ten thousand queues a
// binary heap of pointers looks at thirteen records all over the memory on each way down, this one at seven lines of it.
type fairScheduler struct {
	virtualTime float64
	active      []heapEntry
}

type heapEntry struct {
	startTag float64
	*fairFlow
}

// heapArity is how many stand below each in a level's heap: four starts fill one line of a processor's memory.
const heapArity = 4

func (s *fairScheduler) init(capacity int) { s.active = make([]heapEntry, 0, min(capacity, 64)) }

// siftUp and down move what stands at a place to where its start belongs.
func (s *fairScheduler) siftUp(i int) {
	heap, entry := s.active, s.active[i]
	for i > 0 {
		parent := (i - 1) / heapArity
		if heap[parent].startTag <= entry.startTag {
			break
		}
		heap[i] = heap[parent]
		heap[i].heapIndex, i = i, parent
	}
	heap[i] = entry
	entry.heapIndex = i
}

func (s *fairScheduler) siftDown(i int) {
	heap, entry := s.active, s.active[i]
	for {
		firstChild := i*heapArity + 1
		if firstChild >= len(heap) {
			break
		}
		smallest := firstChild
		for child := firstChild + 1; child < min(firstChild+heapArity, len(heap)); child++ {
			if heap[child].startTag < heap[smallest].startTag {
				smallest = child
			}
		}
		if heap[smallest].startTag >= entry.startTag {
			break
		}
		heap[i] = heap[smallest]
		heap[i].heapIndex, i = i, smallest
	}
	heap[i] = entry
	entry.heapIndex = i
}

// reposition puts a flow to where its start belongs now.
func (s *fairScheduler) reposition(flow *fairFlow) {
	i, oldStart := flow.heapIndex, s.active[flow.heapIndex].startTag
	if s.active[i].startTag = flow.startTag; flow.startTag < oldStart {
		s.siftUp(i)
	} else {
		s.siftDown(i)
	}
}

// remove takes a flow out; the last one fills its place.
func (s *fairScheduler) remove(flow *fairFlow) {
	i, last := flow.heapIndex, len(s.active)-1
	moved := s.active[last]
	s.active[last] = heapEntry{}
	s.active = s.active[:last]
	if flow.heapIndex = -1; i < last {
		s.active[i] = moved
		moved.heapIndex = i
		s.siftUp(i)
		s.siftDown(moved.heapIndex)
	}
}

// activate puts a flow among those that have something.
func (s *fairScheduler) activate(flow *fairFlow) {
	flow.startTag = max(s.virtualTime, flow.finishTag)
	s.active = append(s.active, heapEntry{flow.startTag, flow})
	flow.heapIndex = len(s.active) - 1
	s.siftUp(flow.heapIndex)
}

// charge charges a flow whose txn goes in; more: it has another one.
func (s *fairScheduler) charge(flow *fairFlow, cost float64, stillActive bool) {
	if flow.heapIndex >= 0 {
		s.virtualTime = max(s.virtualTime, flow.startTag)
		flow.finishTag = flow.startTag + cost
	} else {
		flow.finishTag = max(s.virtualTime, flow.finishTag) + cost
	}
	switch {
	case flow.heapIndex >= 0 && stillActive:
		flow.startTag = flow.finishTag
		s.reposition(flow)
	case flow.heapIndex >= 0:
		s.remove(flow)
	}
}

// deactivate takes a flow out that has nothing left, without pay.
func (s *fairScheduler) deactivate(flow *fairFlow) {
	if flow.heapIndex >= 0 {
		s.remove(flow)
	}
}

// tenantState is the one record of a customer.
type tenantState struct {
	flow           fairFlow
	weight         float64
	queueScheduler fairScheduler
	queues         []clientQueue
	waitingCount   int     // of its txns that wait
	waitingCost    float64 // their work
	admittedCost   float64
}

// clientQueue is the one record of a queue; its lanes hold dearer products first.
type clientQueue struct {
	flow       fairFlow
	priorities []requestList
	length     int
	cost       float64
}

type requestList struct{ head, tail *trackedRequest }

// shardSize is how many of its tenant's queues a client may be put into; it is put into the shortest of them. Of two clients
// few have all of them in common, so that one who floods spoils hardly anybody's, and holds four queues at the most.
const shardSize = 4

// chooseQueue is the queue for a txn of a client.
func (c *Controller) chooseQueue(request *trackedRequest) *clientQueue {
	queues := request.tenant.queues
	var shortest *clientQueue
	hash := mix(c.hashSeed ^ request.Client)
	for i := 0; i < shardSize; i++ {
		queue := &queues[hash%uint64(len(queues))]
		if shortest == nil || queue.cost < shortest.cost {
			shortest = queue
		}
		hash = mix(hash)
	}
	if shortest.priorities == nil {
		shortest.priorities = make([]requestList, c.priorityCount)
		shortest.flow.heapIndex, shortest.flow.owner = -1, shortest
	}
	return shortest
}

// enqueue puts a ticket at the end of a queue.
func (c *Controller) enqueue(request *trackedRequest) {
	request.state = stateWaiting
	if request.queue == nil {
		request.queue = c.chooseQueue(request)
	}
	queue, tenant := request.queue, request.tenant
	list := &queue.priorities[request.priority]
	if request.previous = list.tail; list.tail != nil {
		list.tail.next = request
	} else {
		list.head = request
	}
	list.tail, request.next = request, nil
	if queue.length == 0 {
		tenant.queueScheduler.activate(&queue.flow)
	}
	if tenant.waitingCount == 0 {
		c.tenantScheduler.activate(&tenant.flow)
	}
	queue.length, queue.cost = queue.length+1, queue.cost+request.cost
	tenant.waitingCount, tenant.waitingCost = tenant.waitingCount+1, tenant.waitingCost+request.cost
	c.waitingCount++
	if request.deadlineTick < 0 {
		c.deadlines.add(request)
	}
}

// unlink takes a ticket out of its lane and the counts, and leaves the flows as they are.
func (c *Controller) unlink(request *trackedRequest) {
	queue, tenant := request.queue, request.tenant
	list := &queue.priorities[request.priority]
	if request.previous != nil {
		request.previous.next = request.next
	} else {
		list.head = request.next
	}
	if request.next != nil {
		request.next.previous = request.previous
	} else {
		list.tail = request.previous
	}
	request.previous, request.next = nil, nil
	queue.length, tenant.waitingCount = queue.length-1, tenant.waitingCount-1
	queue.cost, tenant.waitingCost = queue.cost-request.cost, tenant.waitingCost-request.cost
	if queue.length == 0 {
		queue.cost = 0
	}
	if tenant.waitingCount == 0 {
		tenant.waitingCost = 0
	}
	c.waitingCount--
	if request.deadlineTick >= 0 {
		c.deadlines.remove(request)
	}
}

// dequeue takes a ticket that waits out of all; nobody pays.
func (c *Controller) dequeue(request *trackedRequest) {
	c.unlink(request)
	if request.queue.length == 0 {
		request.tenant.queueScheduler.deactivate(&request.queue.flow)
	}
	if request.tenant.waitingCount == 0 {
		c.tenantScheduler.deactivate(&request.tenant.flow)
	}
}

// replaceInQueue puts a ticket into another's place.
func (c *Controller) replaceInQueue(old, request *trackedRequest) {
	request.queue, request.priority, request.previous, request.next = old.queue, old.priority, old.previous, old.next
	list := &request.queue.priorities[request.priority]
	if request.previous != nil {
		request.previous.next = request
	} else {
		list.head = request
	}
	if request.next != nil {
		request.next.previous = request
	} else {
		list.tail = request
	}
	request.queue.cost += request.cost - old.cost
	request.tenant.waitingCost += request.cost - old.cost
	c.deadlines.remove(old)
	c.deadlines.add(request)
}

// dequeueNext takes out the ticket whose turn it is; its flows pay.
func (c *Controller) dequeueNext() *trackedRequest {
	if len(c.tenantScheduler.active) == 0 {
		return nil
	}
	tenant := c.tenantScheduler.active[0].owner.(*tenantState)
	queue := tenant.queueScheduler.active[0].owner.(*clientQueue)
	var request *trackedRequest
	for i := range queue.priorities {
		if request = queue.priorities[i].head; request != nil {
			break
		}
	}
	c.unlink(request)
	c.chargeFlows(request)
	return request
}

// chargeFlows charges tenant and queue for a ticket that goes in.
func (c *Controller) chargeFlows(request *trackedRequest) {
	tenant := request.tenant
	tenant.queueScheduler.charge(&request.queue.flow, request.cost, request.queue.length > 0)
	c.tenantScheduler.charge(&tenant.flow, request.cost/tenant.weight, tenant.waitingCount > 0)
	tenant.admittedCost += request.cost
}

// evictionCandidate is the ticket that has to go when there is no room: the newest of the longest queue of the tenant that waits with
// most beyond its share, the cheapest product first. It is nobody's fault to have come last.
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
	var longest *clientQueue
	for _, entry := range worst.queueScheduler.active {
		if queue := entry.owner.(*clientQueue); longest == nil || queue.cost > longest.cost {
			longest = queue
		}
	}
	for i := len(longest.priorities) - 1; i >= 0; i-- {
		if request := longest.priorities[i].tail; request != nil {
			return request
		}
	}
	return nil
}

// estimatedWait is how long a ticket will wait: the work before it in its own queue and in those of its tenant that take turns
// with it, at its tenant's part of what goes in less what is promised.
func (c *Controller) estimatedWait(request *trackedRequest) Micros {
	tenant, queue := request.tenant, request.queue
	costThrough := queue.cost
	if queue.priorities[request.priority].tail != request || request.priority+1 < len(queue.priorities) {
		costThrough = c.costThrough(request)
	}
	// Its queue starts so far from the present, and the queues that have something go on alike.
	selfAhead := max(0, queue.flow.startTag-tenant.queueScheduler.virtualTime+costThrough-request.cost)
	work := min(tenant.waitingCost-request.cost, selfAhead*float64(len(tenant.queueScheduler.active)))
	return c.reservations.timeToServe(c, request.Tenant, work)
}

// costThrough is the work in a ticket's queue that goes in before it, and its own.
func (c *Controller) costThrough(request *trackedRequest) (cost float64) {
	for i := 0; i < request.priority; i++ {
		for other := request.queue.priorities[i].head; other != nil; other = other.next {
			cost += other.cost
		}
	}
	for other := request; other != nil; other = other.previous {
		cost += other.cost
	}
	return cost
}

// tenantRate is the work a microsecond that a tenant gets while the others that wait want theirs.
func (c *Controller) tenantRate(tenant *tenantState) float64 {
	totalWeight := 0.0
	for _, entry := range c.tenantScheduler.active {
		totalWeight += entry.owner.(*tenantState).weight
	}
	if tenant.flow.heapIndex < 0 {
		totalWeight += tenant.weight
	}
	return c.admissionRate() * tenant.weight / totalWeight
}

// priorityLevels are the products' lanes, the dearest first; products of one revenue share one.
func priorityLevels(classes []RequestClass) (priorities []int, count int) {
	priorities = make([]int, len(classes))
	for i, class := range classes {
		for j, other := range classes {
			isFirst := true
			for _, earlier := range classes[:j] {
				isFirst = isFirst && earlier.PriorityWeight != other.PriorityWeight
			}
			if other.PriorityWeight > class.PriorityWeight && isFirst {
				priorities[i]++
			}
		}
		count = max(count, priorities[i]+1)
	}
	return priorities, max(1, count)
}

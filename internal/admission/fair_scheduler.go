package admission

// fairFlow is one of the flows that a fairScheduler orders: a tenant, or one queue of a tenant.
type fairFlow[T any] struct {
	startTag  float64
	finishTag float64
	heapIndex int // in the scheduler's heap; -1 if the flow has no requests
	owner     T
}

// fairScheduler orders flows by start-time fair queueing (SFQ). The start tag of a flow is the later of the virtual time and the
// flow's last finish tag, so that an idle flow gains no credit. The flow with the lowest start tag is served next, and is charged
// the cost of its request divided by the flow's weight.
//
// Flows that have requests are kept in a d-ary heap, which holds copies of their start tags. Ordering thousands of flows then
// touches few cache lines, and does not read the flows themselves, which are scattered over memory.
type fairScheduler[T any] struct {
	virtualTime float64
	active      []heapEntry[T]
}

type heapEntry[T any] struct {
	startTag float64 // copy of the flow's start tag, so that a comparison reads only the heap
	flow     *fairFlow[T]
}

const (
	// heapArity is the number of children of each heap entry. Four entries fill one cache line.
	heapArity = 4
	// initialHeapCapacity, in flows, is the largest capacity that a heap starts with. It bounds the memory of heaps that hold
	// few flows at a time.
	initialHeapCapacity = 64
)

// newFairScheduler creates a scheduler for the given number of flows.
func newFairScheduler[T any](flows int) fairScheduler[T] {
	return fairScheduler[T]{active: make([]heapEntry[T], 0, min(flows, initialHeapCapacity))}
}

// activate adds a flow that now has a request.
func (s *fairScheduler[T]) activate(flow *fairFlow[T]) {
	flow.startTag = max(s.virtualTime, flow.finishTag)
	s.active = append(s.active, heapEntry[T]{flow.startTag, flow})
	flow.heapIndex = len(s.active) - 1
	s.siftUp(flow.heapIndex)
}

// deactivate removes a flow that has no requests left, without charging it.
func (s *fairScheduler[T]) deactivate(flow *fairFlow[T]) {
	if flow.heapIndex >= 0 {
		s.remove(flow)
	}
}

// charge charges a flow the cost of a request that is served. hasMore says whether the flow has more requests.
func (s *fairScheduler[T]) charge(flow *fairFlow[T], cost float64, hasMore bool) {
	if flow.heapIndex < 0 {
		flow.finishTag = max(s.virtualTime, flow.finishTag) + cost
		return
	}
	s.virtualTime = max(s.virtualTime, flow.startTag)
	flow.finishTag = flow.startTag + cost
	if !hasMore {
		s.remove(flow)
		return
	}
	flow.startTag = flow.finishTag
	s.reposition(flow)
}

// reposition restores the heap order after the start tag of a flow has changed.
func (s *fairScheduler[T]) reposition(flow *fairFlow[T]) {
	entry := &s.active[flow.heapIndex]
	previousTag := entry.startTag
	entry.startTag = flow.startTag
	if flow.startTag < previousTag {
		s.siftUp(flow.heapIndex)
	} else {
		s.siftDown(flow.heapIndex)
	}
}

// remove removes a flow from the heap. The last entry takes its place.
func (s *fairScheduler[T]) remove(flow *fairFlow[T]) {
	index, last := flow.heapIndex, len(s.active)-1
	moved := s.active[last]
	s.active[last] = heapEntry[T]{}
	s.active = s.active[:last]
	flow.heapIndex = -1
	if index == last {
		return
	}
	s.active[index] = moved
	moved.flow.heapIndex = index
	s.siftUp(index)
	s.siftDown(moved.flow.heapIndex)
}

func (s *fairScheduler[T]) siftUp(index int) {
	heap, entry := s.active, s.active[index]
	for index > 0 {
		parent := (index - 1) / heapArity
		if heap[parent].startTag <= entry.startTag {
			break
		}
		heap[index] = heap[parent]
		heap[index].flow.heapIndex = index
		index = parent
	}
	heap[index] = entry
	entry.flow.heapIndex = index
}

func (s *fairScheduler[T]) siftDown(index int) {
	heap, entry := s.active, s.active[index]
	for {
		firstChild := index*heapArity + 1
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
		heap[index] = heap[smallest]
		heap[index].flow.heapIndex = index
		index = smallest
	}
	heap[index] = entry
	entry.flow.heapIndex = index
}

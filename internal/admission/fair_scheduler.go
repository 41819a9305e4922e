package admission

// fairFlow is one of the flows that share a fairScheduler: a tenant, or one queue of a tenant.
type fairFlow[T any] struct {
	startTag  float64
	finishTag float64
	heapIndex int // in the scheduler's heap; -1: the flow has no request
	owner     T
}

// fairScheduler orders flows by start-time fair queueing (SFQ). A flow's start tag is the later of the virtual time and its own
// last finish tag, so that an idle flow gains no credit. The flow with the lowest start tag is served next and is charged
// its request's cost over its weight.
//
// The flows that have a request stand in a d-ary heap that holds copies of their start tags, so that ordering thousands of flows
// touches few cache lines, and none of the flows themselves, which are scattered over memory.
type fairScheduler[T any] struct {
	virtualTime float64
	active      []heapEntry[T]
}

type heapEntry[T any] struct {
	startTag float64 // the flow's, copied here so that a comparison stays within the heap's memory
	flow     *fairFlow[T]
}

const (
	// heapArity is the number of children of each heap entry: four entries fill one cache line.
	heapArity = 4
	// initialHeapCapacity bounds the memory of a heap that holds few flows at a time.
	initialHeapCapacity = 64
)

// newFairScheduler creates a scheduler for a number of flows.
func newFairScheduler[T any](flows int) fairScheduler[T] {
	return fairScheduler[T]{active: make([]heapEntry[T], 0, min(flows, initialHeapCapacity))}
}

// activate adds a flow that has got a request.
func (s *fairScheduler[T]) activate(flow *fairFlow[T]) {
	flow.startTag = max(s.virtualTime, flow.finishTag)
	s.active = append(s.active, heapEntry[T]{flow.startTag, flow})
	flow.heapIndex = len(s.active) - 1
	s.siftUp(flow.heapIndex)
}

// deactivate removes a flow that has no request left, without a charge.
func (s *fairScheduler[T]) deactivate(flow *fairFlow[T]) {
	if flow.heapIndex >= 0 {
		s.remove(flow)
	}
}

// charge accounts for a request of a flow that is served; hasMore says whether the flow has another one.
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

// reposition moves a flow to where its start tag belongs now.
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

// remove takes a flow out of the heap; the last entry fills its place.
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

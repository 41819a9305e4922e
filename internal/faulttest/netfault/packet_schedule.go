package netfault

import "container/heap"

// route is the sender and the receiver of a datagram.
type route struct{ from, to int }

// packet is a datagram that is scheduled for delivery.
type packet struct {
	Delivery
	route
	payload         []byte
	sequence        int  // orders packets that are due at the same time
	reorderTimedOut bool // set by takeDue: the packet waited to be overtaken, and no other packet came in time
}

// packetSchedule orders packets by the time at which they are due, and holds back those that wait to be overtaken. It is not safe for
// concurrent use.
type packetSchedule struct {
	queue        packetQueue
	waiting      map[route]packet // packets that wait to be overtaken, at most one on each route
	lastSequence int
}

func newPacketSchedule() *packetSchedule { return &packetSchedule{waiting: map[route]packet{}} }

func (s *packetSchedule) pending() int { return len(s.queue) }

// next returns when the next packet is due.
func (s *packetSchedule) next() (at Micros, isPending bool) {
	if len(s.queue) == 0 {
		return 0, false
	}
	return s.queue[0].DeliverAt, true
}

// add schedules a packet. A packet that waits to be overtaken is queued for the end of its wait. When the overtaking packet is
// added, a copy of the waiting packet is queued directly behind the overtaking one.
func (s *packetSchedule) add(p packet) {
	s.lastSequence++
	p.sequence = s.lastSequence
	if p.AwaitsReorder {
		s.waiting[p.route] = p
	}
	heap.Push(&s.queue, p)
	if overtaken, isWaiting := s.waiting[p.route]; isWaiting && p.Overtakes {
		delete(s.waiting, p.route)
		s.lastSequence++
		overtaken.DeliverAt, overtaken.sequence, overtaken.AwaitsReorder = p.DeliverAt, s.lastSequence, false
		heap.Push(&s.queue, overtaken)
	}
}

// takeDue removes and returns a packet that is due. It discards the queue entry for the end of a wait if the packet has been overtaken
// in the meantime.
func (s *packetSchedule) takeDue(now Micros) (p packet, isDue bool) {
	for len(s.queue) > 0 && s.queue[0].DeliverAt <= now {
		p = heap.Pop(&s.queue).(packet)
		if !p.AwaitsReorder {
			return p, true
		}
		if waiting, isWaiting := s.waiting[p.route]; isWaiting && waiting.sequence == p.sequence {
			delete(s.waiting, p.route)
			p.reorderTimedOut = true
			return p, true
		}
	}
	return packet{}, false
}

// packetQueue is a heap of packets, ordered by delivery time and then by sequence.
type packetQueue []packet

func (q packetQueue) Len() int { return len(q) }

func (q packetQueue) Less(i, j int) bool {
	if q[i].DeliverAt != q[j].DeliverAt {
		return q[i].DeliverAt < q[j].DeliverAt
	}
	return q[i].sequence < q[j].sequence
}

func (q packetQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *packetQueue) Push(x any) { *q = append(*q, x.(packet)) }

// Pop implements heap.Interface.
func (q *packetQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

package admission

// This file owns the order in which txns go in: start-time fair queueing among tenants, and within a tenant among a
// fixed number of queues that its clients are spread over. A flow's start is the later of the level's present and its own
// last finish, so that an idle one saves up nothing; the lowest start goes next, and pays its work over its weight.

// flowOf is a tenant, or a queue of one, as its level sees it.
type flowOf struct {
	start, finish float64
	place         int // in the heap of those who have something; -1: has nothing
	item          any
}

// level is one level of fairness: a heap by start with four below each, whose starts stand in it. Of ten thousand queues a
// binary heap of pointers looks at thirteen records all over the memory on each way down, this one at seven lines of it.
type level struct {
	present float64
	active  []ranked
}

type ranked struct {
	start float64
	*flowOf
}

// below is how many stand below each in a level's heap: four starts fill one line of a processor's memory.
const below = 4

func (l *level) init(most int) { l.active = make([]ranked, 0, min(most, 64)) }

// up and down move what stands at a place to where its start belongs.
func (l *level) up(i int) {
	a, r := l.active, l.active[i]
	for i > 0 {
		over := (i - 1) / below
		if a[over].start <= r.start {
			break
		}
		a[i] = a[over]
		a[i].place, i = i, over
	}
	a[i] = r
	r.place = i
}

func (l *level) down(i int) {
	a, r := l.active, l.active[i]
	for {
		first := i*below + 1
		if first >= len(a) {
			break
		}
		least := first
		for k := first + 1; k < min(first+below, len(a)); k++ {
			if a[k].start < a[least].start {
				least = k
			}
		}
		if a[least].start >= r.start {
			break
		}
		a[i] = a[least]
		a[i].place, i = i, least
	}
	a[i] = r
	r.place = i
}

// move puts a flow to where its start belongs now.
func (l *level) move(f *flowOf) {
	i, old := f.place, l.active[f.place].start
	if l.active[i].start = f.start; f.start < old {
		l.up(i)
	} else {
		l.down(i)
	}
}

// remove takes a flow out; the last one fills its place.
func (l *level) remove(f *flowOf) {
	i, last := f.place, len(l.active)-1
	moved := l.active[last]
	l.active[last] = ranked{}
	l.active = l.active[:last]
	if f.place = -1; i < last {
		l.active[i] = moved
		moved.place = i
		l.up(i)
		l.down(moved.place)
	}
}

// wake puts a flow among those that have something.
func (l *level) wake(f *flowOf) {
	f.start = max(l.present, f.finish)
	l.active = append(l.active, ranked{f.start, f})
	f.place = len(l.active) - 1
	l.up(f.place)
}

// pay charges a flow whose txn goes in; more: it has another one.
func (l *level) pay(f *flowOf, cost float64, more bool) {
	if f.place >= 0 {
		l.present = max(l.present, f.start)
		f.finish = f.start + cost
	} else {
		f.finish = max(l.present, f.finish) + cost
	}
	switch {
	case f.place >= 0 && more:
		f.start = f.finish
		l.move(f)
	case f.place >= 0:
		l.remove(f)
	}
}

// sleep takes a flow out that has nothing left, without pay.
func (l *level) sleep(f *flowOf) {
	if f.place >= 0 {
		l.remove(f)
	}
}

// tenant is the one record of a customer.
type tenant struct {
	flow   flowOf
	weight float64
	queues level
	all    []queue
	n      int     // of its txns that wait
	cost   float64 // their work
	served float64
}

// queue is the one record of a queue; its lanes hold dearer products first.
type queue struct {
	flow  flowOf
	lanes []lane
	n     int
	cost  float64
}

type lane struct{ head, tail *ticket }

// hands is how many of its tenant's queues a client may be put into; it is put into the shortest of them. Of two clients
// few have all of them in common, so that one who floods spoils hardly anybody's, and holds four queues at the most.
const hands = 4

// place is the queue for a txn of a client.
func (d *Controller) place(t *ticket) *queue {
	all := t.tenant.all
	var best *queue
	h := mix(d.salt ^ t.Client)
	for i := 0; i < hands; i++ {
		q := &all[h%uint64(len(all))]
		if best == nil || q.cost < best.cost {
			best = q
		}
		h = mix(h)
	}
	if best.lanes == nil {
		best.lanes = make([]lane, d.lanes)
		best.flow.place, best.flow.item = -1, best
	}
	return best
}

// line puts a ticket at the end of a queue.
func (d *Controller) line(t *ticket) {
	t.state = waiting
	if t.queue == nil {
		t.queue = d.place(t)
	}
	q, te := t.queue, t.tenant
	l := &q.lanes[t.lane]
	if t.prev = l.tail; l.tail != nil {
		l.tail.next = t
	} else {
		l.head = t
	}
	l.tail, t.next = t, nil
	if q.n == 0 {
		te.queues.wake(&q.flow)
	}
	if te.n == 0 {
		d.fair.wake(&te.flow)
	}
	q.n, q.cost = q.n+1, q.cost+t.cost
	te.n, te.cost = te.n+1, te.cost+t.cost
	d.waitN++
	if t.due < 0 {
		d.dues.add(t)
	}
}

// unlink takes a ticket out of its lane and the counts, and leaves the flows as they are.
func (d *Controller) unlink(t *ticket) {
	q, te := t.queue, t.tenant
	l := &q.lanes[t.lane]
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		l.head = t.next
	}
	if t.next != nil {
		t.next.prev = t.prev
	} else {
		l.tail = t.prev
	}
	t.prev, t.next = nil, nil
	q.n, te.n = q.n-1, te.n-1
	q.cost, te.cost = q.cost-t.cost, te.cost-t.cost
	if q.n == 0 {
		q.cost = 0
	}
	if te.n == 0 {
		te.cost = 0
	}
	d.waitN--
	if t.due >= 0 {
		d.dues.remove(t)
	}
}

// unline takes a ticket that waits out of all; nobody pays.
func (d *Controller) unline(t *ticket) {
	d.unlink(t)
	if t.queue.n == 0 {
		t.tenant.queues.sleep(&t.queue.flow)
	}
	if t.tenant.n == 0 {
		d.fair.sleep(&t.tenant.flow)
	}
}

// swap puts a ticket into another's place.
func (d *Controller) swap(old, t *ticket) {
	t.queue, t.lane, t.prev, t.next = old.queue, old.lane, old.prev, old.next
	l := &t.queue.lanes[t.lane]
	if t.prev != nil {
		t.prev.next = t
	} else {
		l.head = t
	}
	if t.next != nil {
		t.next.prev = t
	} else {
		l.tail = t
	}
	t.queue.cost += t.cost - old.cost
	t.tenant.cost += t.cost - old.cost
	d.dues.remove(old)
	d.dues.add(t)
}

// turn takes out the ticket whose turn it is; its flows pay.
func (d *Controller) turn() *ticket {
	if len(d.fair.active) == 0 {
		return nil
	}
	te := d.fair.active[0].item.(*tenant)
	q := te.queues.active[0].item.(*queue)
	var t *ticket
	for i := range q.lanes {
		if t = q.lanes[i].head; t != nil {
			break
		}
	}
	d.unlink(t)
	d.pay(t)
	return t
}

// pay charges tenant and queue for a ticket that goes in.
func (d *Controller) pay(t *ticket) {
	te := t.tenant
	te.queues.pay(&t.queue.flow, t.cost, t.queue.n > 0)
	d.fair.pay(&te.flow, t.cost/te.weight, te.n > 0)
	te.served += t.cost
}

// over is the ticket that has to go when there is no room: the newest of the longest queue of the tenant that waits with
// most beyond its share, the cheapest product first. It is nobody's fault to have come last.
func (d *Controller) over() *ticket {
	var worst *tenant
	for _, te := range d.tenants {
		if te.n > 0 && (worst == nil || te.cost/te.weight > worst.cost/worst.weight) {
			worst = te
		}
	}
	if worst == nil {
		return nil
	}
	var longest *queue
	for _, f := range worst.queues.active {
		if q := f.item.(*queue); longest == nil || q.cost > longest.cost {
			longest = q
		}
	}
	for i := len(longest.lanes) - 1; i >= 0; i-- {
		if t := longest.lanes[i].tail; t != nil {
			return t
		}
	}
	return nil
}

// ahead is how long a ticket will wait: the work before it in its own queue and in those of its tenant that take turns
// with it, at its tenant's part of what goes in less what is promised.
func (d *Controller) ahead(t *ticket) Micros {
	te, q := t.tenant, t.queue
	before := q.cost
	if q.lanes[t.lane].tail != t || t.lane+1 < len(q.lanes) {
		before = d.before(t)
	}
	// Its queue starts so far from the present, and the queues that have something go on alike.
	first := max(0, q.flow.start-te.queues.present+before-t.cost)
	work := min(te.cost-t.cost, first*float64(len(te.queues.active)))
	return d.promises.until(d, t.Tenant, work)
}

// before is the work in a ticket's queue that goes in before it, and its own.
func (d *Controller) before(t *ticket) (work float64) {
	for i := 0; i < t.lane; i++ {
		for o := t.queue.lanes[i].head; o != nil; o = o.next {
			work += o.cost
		}
	}
	for o := t; o != nil; o = o.prev {
		work += o.cost
	}
	return work
}

// part is the work a microsecond that a tenant gets while the others that wait want theirs.
func (d *Controller) part(te *tenant) float64 {
	weights := 0.0
	for _, f := range d.fair.active {
		weights += f.item.(*tenant).weight
	}
	if te.flow.place < 0 {
		weights += te.weight
	}
	return d.pace() * te.weight / weights
}

// ranks are the products' lanes, the dearest first; products of one revenue share one.
func ranks(products []RequestClass) (rank []int, lanes int) {
	rank = make([]int, len(products))
	for i, p := range products {
		for j, o := range products {
			first := true
			for _, before := range products[:j] {
				first = first && before.PriorityWeight != o.PriorityWeight
			}
			if o.PriorityWeight > p.PriorityWeight && first {
				rank[i]++
			}
		}
		lanes = max(lanes, rank[i]+1)
	}
	return rank, max(1, lanes)
}

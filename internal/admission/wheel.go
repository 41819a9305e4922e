package admission

// This file owns the tickets that wait, by the time at which they give up: a wheel of lists, one for each beat, so that
// coming and going cost the same however many wait. A ticket is found up to two beats before its time and never after it.

// wheelSlots of a beat each: ten seconds; who gives up later is passed over until its turn of the wheel.
const wheelSlots = 1024

type wheel struct {
	slots [wheelSlots]*ticket
	done  int64 // the beat up to which all have been found
	n     int
}

func (w *wheel) add(t *ticket) {
	t.due = max(t.giveUp/beatEvery-1, w.done+1)
	head := &w.slots[t.due%wheelSlots]
	if t.later = *head; t.later != nil {
		t.later.sooner = t
	}
	t.sooner, *head = nil, t
	w.n++
}

func (w *wheel) remove(t *ticket) {
	if t.sooner != nil {
		t.sooner.later = t.later
	} else {
		w.slots[t.due%wheelSlots] = t.later
	}
	if t.later != nil {
		t.later.sooner = t.sooner
	}
	t.sooner, t.later, t.due = nil, nil, -1
	w.n--
}

// expired hands over each ticket whose time is near; what is done with it takes it out of the wheel.
func (w *wheel) expired(now Micros, do func(*ticket)) {
	beat := now / beatEvery
	if w.n == 0 {
		w.done = max(w.done, beat)
		return
	}
	for b := max(w.done+1, beat-wheelSlots+1); b <= beat; b++ {
		for t := w.slots[b%wheelSlots]; t != nil; {
			next := t.later
			if t.due <= beat {
				do(t)
			}
			t = next
		}
	}
	w.done = max(w.done, beat)
}

// each hands over every ticket; what is done may take it out.
func (w *wheel) each(do func(*ticket)) {
	for i := range w.slots {
		for t := w.slots[i]; t != nil; {
			next := t.later
			do(t)
			t = next
		}
	}
}

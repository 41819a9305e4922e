package netfault

// Counters counts the datagrams, or the segments of streams, on one link.
type Counters struct {
	Received, ReceivedBytes   int64
	Delivered, DeliveredBytes int64
	Dropped                   int64
	Foreign                   int64 // datagrams from a sender that is not a party
}

func (c *Counters) add(n Counters) {
	c.Received += n.Received
	c.ReceivedBytes += n.ReceivedBytes
	c.Delivered += n.Delivered
	c.DeliveredBytes += n.DeliveredBytes
	c.Dropped += n.Dropped
	c.Foreign += n.Foreign
}

package netfault

// Counters count what passed in one direction of a link: datagrams, or segments of streams.
type Counters struct {
	Received, ReceivedBytes   int64
	Delivered, DeliveredBytes int64
	Dropped                   int64
	Foreign                   int64 // from a sender that is no party
}

func (c *Counters) add(n Counters) {
	c.Received += n.Received
	c.ReceivedBytes += n.ReceivedBytes
	c.Delivered += n.Delivered
	c.DeliveredBytes += n.DeliveredBytes
	c.Dropped += n.Dropped
	c.Foreign += n.Foreign
}

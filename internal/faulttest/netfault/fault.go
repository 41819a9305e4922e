package netfault

// Micros are whole microseconds since the start of a test's deployment.
type Micros = int64

// Clock gives the time since the start of a test's deployment.
type Clock func() Micros

const microsPerSecond Micros = 1_000_000

// Fault is what is wrong with one direction of a link; its zero value is a link without a fault.
type Fault struct {
	Drop            bool    // nothing passes: datagrams are lost, a stream's bytes wait for the fault's end, as if they were retransmitted then
	Blackhole       bool    // streams: bytes are swallowed while the connection stays up; it is reset when the fault is over
	Refuse          bool    // streams: every connection is reset, new ones at once; datagrams are lost
	LossRate        float64 // share of datagrams that are lost, and of a stream's segments that have to be retransmitted
	Delay           Micros  // added to each datagram and each segment of a stream
	Jitter          Micros  // Delay is drawn evenly from so much below to so much above
	BytesPerSecond  int     // 0: no bound
	ResetAfterBytes int     // streams: a connection is reset after so many more bytes; 0: never
	DuplicateRate   float64 // share of datagrams that are delivered twice
	ReorderRate     float64 // share of datagrams that the next one overtakes
}

// IsZero tells that nothing is wrong.
func (f Fault) IsZero() bool { return f == Fault{} }

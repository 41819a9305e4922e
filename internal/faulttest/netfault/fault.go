package netfault

// Micros is a time in microseconds since the start of a test's deployment, or a duration in microseconds.
type Micros = int64

// Clock returns the time since the start of a test's deployment.
type Clock func() Micros

const microsPerSecond Micros = 1_000_000

// Fault describes the network faults of a link. The zero value is a link without a fault.
type Fault struct {
	Drop            bool    // datagrams are lost; a stream's bytes are held until the fault ends, as if they were retransmitted then
	Blackhole       bool    // datagrams are lost; a stream's bytes are discarded while its connection stays up; a connection that lost bytes is reset when the fault ends
	Refuse          bool    // datagrams are lost; every connection is reset, a new one at once
	LossRate        float64 // share of datagrams that are lost, and probability that a transmission of a stream's segment is lost
	Delay           Micros  // delay of each datagram and each segment of a stream
	Jitter          Micros  // the delay is drawn uniformly from Delay-Jitter to Delay+Jitter
	BytesPerSecond  int     // rate limit; 0: none
	ResetAfterBytes int     // a connection is reset once this many bytes have been delivered since the fault was set; 0: never
	DuplicateRate   float64 // share of datagrams that are delivered twice
	ReorderRate     float64 // share of datagrams that are delivered after the next one
}

// IsZero reports whether f describes a link without a fault.
func (f Fault) IsZero() bool { return f == Fault{} }

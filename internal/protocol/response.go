package protocol

// Response is an endpoint's complete response.
type Response struct {
	Result      Result
	Status      int
	ContentType string
	Body        []byte
	Load        []float32 // the load report that came with it; nil: none
	IsLast      bool      // the connection can't be used after it
}

package protocol

// Response is an endpoint's complete response.
type Response struct {
	Result      Result
	Status      int
	ContentType string
	Body        []byte
	Load        []float32 // values of the load report that came with the response; nil if there was none
	IsLast      bool      // the connection can't be reused after this response
}

package proxy

import "sync"

// copyBufferSize is the size of a copy buffer; most response bodies fit.
const copyBufferSize = 4 << 10

// bufferPool lends httputil.ReverseProxy its copy buffers. A new buffer for each response took a tenth of the agent's processor time.
type bufferPool struct{ pool sync.Pool }

// Get returns a buffer from the pool, or a new one where the pool is empty.
func (b *bufferPool) Get() []byte {
	if buffer, ok := b.pool.Get().(*[copyBufferSize]byte); ok {
		return buffer[:]
	}
	return make([]byte, copyBufferSize)
}

// Put takes a buffer back.
func (b *bufferPool) Put(buffer []byte) { b.pool.Put((*[copyBufferSize]byte)(buffer)) }

package proxy

import "sync"

// copyBufferBytes is the size of a copy buffer; most response bodies fit.
const copyBufferBytes = 4 << 10

// bufferPool is the pool of copy buffers of an httputil.ReverseProxy. A new buffer for each response would take much of the agent's CPU
// time.
type bufferPool struct{ pool sync.Pool }

// Get returns a buffer from the pool, or a new one if the pool is empty.
func (b *bufferPool) Get() []byte {
	if buffer, ok := b.pool.Get().(*[copyBufferBytes]byte); ok {
		return buffer[:]
	}
	return make([]byte, copyBufferBytes)
}

// Put returns a buffer to the pool.
func (b *bufferPool) Put(buffer []byte) { b.pool.Put((*[copyBufferBytes]byte)(buffer)) }

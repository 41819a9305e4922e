package storage

import (
	"fmt"
	"sync/atomic"

	"go.etcd.io/bbolt"
)

// readRecord checks all pages of the file before it reads the record.
func readRecord(tx *bbolt.Tx) (*record, error) {
	if err := touchBuckets(tx); err != nil {
		return nil, fmt.Errorf("%w: reading the buckets: %w", ErrCorrupt, err)
	}
	if err := checkPages(tx); err != nil {
		return nil, fmt.Errorf("%w: checking the pages: %w", ErrCorrupt, err)
	}
	bucket := tx.Bucket([]byte(bucketName))
	if bucket == nil {
		return nil, nil
	}
	raw := bucket.Get([]byte(recordKey))
	if raw == nil {
		return nil, nil
	}
	return decodeRecord(raw)
}

// touchBuckets touches every key and value in the buckets of the file. It must be called before checkPages, which reads the pages
// in a goroutine of bbolt. A page number beyond the mapped file causes a memory fault. In touchBuckets the fault becomes a panic,
// from which guardMappedMemory recovers. In bbolt's goroutine the fault would end the process.
func touchBuckets(tx *bbolt.Tx) error {
	return tx.ForEach(func(_ []byte, bucket *bbolt.Bucket) error { return touchBucket(bucket) })
}

func touchBucket(bucket *bbolt.Bucket) error {
	return bucket.ForEach(func(key, value []byte) error {
		touch(key)
		touch(value)
		if nested := bucket.Bucket(key); value == nil && nested != nil {
			return touchBucket(nested)
		}
		return nil
	})
}

// touched keeps the compiler from removing the reads in touch.
var touched atomic.Uint32

// touch reads the first and the last byte of a key or a value. The bytes between them need not be read: a key or a value
// is never longer than the file, so if both of its ends lie in the file, the rest does too.
func touch(content []byte) {
	if len(content) > 0 {
		touched.Store(uint32(content[0]) + uint32(content[len(content)-1]))
	}
}

// checkPages returns the first damage that bbolt finds. It receives all reports, because the goroutine of bbolt that sends them
// reads the mapped file, and must have ended before the file is closed.
func checkPages(tx *bbolt.Tx) (first error) {
	for damage := range tx.Check() {
		if first == nil {
			first = damage
		}
	}
	return first
}

package storage

import (
	"fmt"
	"sync/atomic"

	"go.etcd.io/bbolt"
)

// readRecord checks all pages of the file before it reads the record.
func readRecord(tx *bbolt.Tx) (*record, error) {
	if err := touchBuckets(tx); err != nil {
		return nil, fmt.Errorf("%w: reading its buckets: %w", ErrCorrupt, err)
	}
	if err := checkPages(tx); err != nil {
		return nil, fmt.Errorf("%w: checking its pages: %w", ErrCorrupt, err)
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

// touchBuckets reads whatever the file's buckets refer to. It comes before checkPages, whose goroutine belongs to bbolt: a page number
// beyond the mapped file faults here, where the fault becomes a panic that guardMappedMemory recovers, and not there, where it ends the process.
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

// touched keeps the compiler from dropping the reads of touch.
var touched atomic.Uint32

// touch reads the first and the last byte of what a page refers to; no part between them is longer than the file.
func touch(content []byte) {
	if len(content) > 0 {
		touched.Store(uint32(content[0]) + uint32(content[len(content)-1]))
	}
}

// checkPages returns the first damage that bbolt finds. It takes all that is reported: the goroutine that reports reads the mapped file,
// and has to be over before the file is closed.
func checkPages(tx *bbolt.Tx) (first error) {
	for damage := range tx.Check() {
		if first == nil {
			first = damage
		}
	}
	return first
}

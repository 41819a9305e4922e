package storage

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"switchfork/internal/cluster/election"
)

const (
	// recordFormat is the version of the record's layout.
	recordFormat  = 1
	checksumBytes = crc32.Size
)

// record is the content of the file. It is stored as these fields in little-endian order without gaps, followed by their CRC-32.
type record struct {
	Format uint32
	Group  uint64
	Agent  uint8
	State  election.DurableState
}

// durableState returns the state of a record, or nil for a nil record.
func (r *record) durableState() *election.DurableState {
	if r == nil {
		return nil
	}
	return &r.State
}

func (r *record) owner() Owner { return Owner{Group: r.Group, Agent: int(r.Agent)} }

func encodeRecord(r record) ([]byte, error) {
	raw, err := binary.Append(nil, binary.LittleEndian, r)
	if err != nil {
		return nil, fmt.Errorf("encoding the state record: %w", err)
	}
	return binary.LittleEndian.AppendUint32(raw, crc32.ChecksumIEEE(raw)), nil
}

func decodeRecord(raw []byte) (*record, error) {
	r := &record{}
	bodyBytes := binary.Size(r)
	if len(raw) != bodyBytes+checksumBytes {
		return nil, fmt.Errorf("%w: the record has %d bytes, expected %d", ErrCorrupt, len(raw), bodyBytes+checksumBytes)
	}
	body := raw[:bodyBytes]
	if crc32.ChecksumIEEE(body) != binary.LittleEndian.Uint32(raw[bodyBytes:]) {
		return nil, fmt.Errorf("%w: the checksum of the record does not match", ErrCorrupt)
	}
	if _, err := binary.Decode(body, binary.LittleEndian, r); err != nil {
		return nil, fmt.Errorf("%w: decoding the record: %w", ErrCorrupt, err)
	}
	if r.Format != recordFormat {
		return nil, fmt.Errorf("%w: the record has format %d, expected %d", ErrCorrupt, r.Format, recordFormat)
	}
	return r, nil
}

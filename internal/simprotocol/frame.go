package simprotocol

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

const (
	frameHeaderBytes = 4       // the frame's length, itself included
	minFrameBytes    = 16      // the header, the number of records and the clock
	maxFrameBytes    = 1 << 30 // a length above this is a broken frame, not a batch
)

var byteOrder = binary.LittleEndian

// errEndOfInput reports that the input ended between two frames.
var errEndOfInput = errors.New("end of input")

// readFrame returns the body of the next frame, after its length.
func readFrame(in io.Reader) ([]byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, errEndOfInput
		}
		return nil, fmt.Errorf("batch header cut short: %w", err)
	}
	length := byteOrder.Uint32(header[:])
	if length < minFrameBytes || length > maxFrameBytes {
		return nil, fmt.Errorf("batch length %d is not between %d and %d", length, minFrameBytes, maxFrameBytes)
	}
	body := make([]byte, length-frameHeaderBytes)
	if _, err := io.ReadFull(in, body); err != nil {
		return nil, fmt.Errorf("batch of %d bytes cut short: %w", length, err)
	}
	return body, nil
}

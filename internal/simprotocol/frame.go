package simprotocol

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

const (
	frameHeaderBytes = 4       // the length field, whose value includes these bytes
	minFrameBytes    = 16      // the length, the record count and the simulated time
	maxFrameBytes    = 1 << 30 // a frame with a greater length is corrupt
)

var byteOrder = binary.LittleEndian

// errEndOfInput reports that the input ended between two frames.
var errEndOfInput = errors.New("end of input")

// readFrame reads the next frame and returns what follows its length field. It returns errEndOfInput if the input ends
// before the frame.
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

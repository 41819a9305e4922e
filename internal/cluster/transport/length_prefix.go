package transport

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"time"
)

const (
	// lengthBytes is the size of the big-endian length that precedes each message on a TCP connection.
	lengthBytes = 2
	// maxMessageBytes bounds the messages that are written and read. Receiving a longer message ends its connection.
	maxMessageBytes = 1 << 10
	// writeTimeout bounds the writing of a message. A message that takes longer arrives too late to be of use, because a lease lasts only a
	// few seconds.
	writeTimeout = 500 * time.Millisecond
)

// messageSizeError reports a message with a length that is not allowed. Such a message is not sent. If a peer announces such a length, the
// connection ends.
type messageSizeError struct{ size int }

func (e *messageSizeError) Error() string {
	return fmt.Sprintf("message of %d bytes, expected 1 to %d", e.size, maxMessageBytes)
}

func checkMessageSize(size int) error {
	if size == 0 || size > maxMessageBytes {
		return &messageSizeError{size}
	}
	return nil
}

// writeMessage writes a message, preceded by its length, in one call. It refuses a message with a length that a reader would reject.
// Otherwise a length over 16 bits would be truncated, and the rest of the message would be read as further messages.
func writeMessage(conn net.Conn, message []byte) error {
	if err := checkMessageSize(len(message)); err != nil {
		return err
	}
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection, on which Write fails too
	buffer := binary.BigEndian.AppendUint16(nil, uint16(len(message)))
	_, err := conn.Write(append(buffer, message...))
	return err
}

// readMessage reads one message and the length that precedes it.
func readMessage(r io.Reader) ([]byte, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, err
	}
	size := int(binary.BigEndian.Uint16(length[:]))
	if err := checkMessageSize(size); err != nil {
		return nil, err
	}
	message := make([]byte, size)
	_, err := io.ReadFull(r, message)
	return message, err
}

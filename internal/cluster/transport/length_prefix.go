package transport

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"time"
)

const (
	// lengthBytes is what the length before each message takes on a TCP connection, in big-endian order.
	lengthBytes = 2
	// maxMessageBytes bounds what is written and read; a longer message that comes all the same ends its connection.
	maxMessageBytes = 1 << 10
	// writeTimeout: a message that takes longer is of no use to a lease of some seconds.
	writeTimeout = 500 * time.Millisecond
)

// messageSizeError tells of a message with a length that none may have. It ends a connection on which one is announced; none is sent.
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

// writeMessage writes a message with its length before it, in one call. One that no reader takes is not written: a length over 16 bits would
// be cut, and the rest of the message be read as the next ones.
func writeMessage(conn net.Conn, message []byte) error {
	if err := checkMessageSize(len(message)); err != nil {
		return err
	}
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection, as writing does then
	buffer := binary.BigEndian.AppendUint16(nil, uint16(len(message)))
	_, err := conn.Write(append(buffer, message...))
	return err
}

// readMessage reads one message with its length before it.
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

package transport

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"time"
)

// lengthSize is what the length before each message takes on a TCP connection, in big-endian order.
const lengthSize = 2

// errMessageSize tells of a message with a length that none may have. It ends a connection on which one is announced; none is sent.
var errMessageSize = errors.New("a message that is empty or longer than is allowed")

// writeMessage writes a message with its length before it, in one call. One that no reader takes is not written: a length over 16 bits would
// be cut, and the rest of the message be read as the next ones.
func writeMessage(conn net.Conn, message []byte) error {
	if len(message) == 0 || len(message) > maxMessageSize {
		return errMessageSize
	}
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection, as writing does then
	buffer := binary.BigEndian.AppendUint16(nil, uint16(len(message)))
	_, err := conn.Write(append(buffer, message...))
	return err
}

// readMessage reads one message with its length before it.
func readMessage(r io.Reader) ([]byte, error) {
	var length [lengthSize]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, err
	}
	size := int(binary.BigEndian.Uint16(length[:]))
	if size == 0 || size > maxMessageSize {
		return nil, errMessageSize
	}
	message := make([]byte, size)
	_, err := io.ReadFull(r, message)
	return message, err
}

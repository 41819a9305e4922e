package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
)

// versionHTTP10 is the start of a response in HTTP/1.0.
const versionHTTP10 = "HTTP/1.0"

// transferEncodingField is the start of a Transfer-Encoding header's line, in lower case.
const transferEncodingField = "transfer-encoding:"

var (
	errHTTP10Encoding = errors.New("response in HTTP/1.0 has a transfer encoding")
	errHTTP10Head     = errors.New("head of a response in HTTP/1.0 is longer than the read buffer")
)

// checkHTTP10 returns an error if the next response is in HTTP/1.0 and has a Transfer-Encoding. net/http ignores and removes that header in
// HTTP/1.0 and reads by the Content-Length, so the body would have the sizes of the chunks in it and end too early. checkHTTP10 consumes
// nothing, and does not wait for more bytes of a response in another version.
func checkHTTP10(from *bufio.Reader) error {
	for {
		buffered, err := from.Peek(from.Buffered())
		if err != nil {
			return err
		}
		isComplete := len(buffered) >= len(versionHTTP10)
		if isComplete && !bytes.HasPrefix(buffered, []byte(versionHTTP10)) || !isComplete && !strings.HasPrefix(versionHTTP10, string(buffered)) {
			return nil
		}
		if head, isWhole := headOf(buffered); isWhole {
			return checkHead(head)
		}
		if err = fill(from); err != nil {
			return err
		}
	}
}

// fill waits for at least one more byte in the buffer.
func fill(from *bufio.Reader) error {
	_, err := from.Peek(from.Buffered() + 1)
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return errHTTP10Head
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	}
	return err
}

// headOf returns the lines before the first empty line, in lower case and without line ends, and whether there is an empty line.
func headOf(buffered []byte) (lines []string, isWhole bool) {
	for line := range strings.Lines(strings.ToLower(string(buffered))) {
		line = strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")
		if line == "" {
			return lines, true
		}
		lines = append(lines, line)
	}
	return lines, false
}

// checkHead returns errHTTP10Encoding if a head has a Transfer-Encoding.
func checkHead(lines []string) error {
	for _, line := range lines {
		if strings.HasPrefix(line, transferEncodingField) {
			return errHTTP10Encoding
		}
	}
	return nil
}

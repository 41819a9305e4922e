package protocol

import (
	"errors"
	"fmt"
)

var (
	// ErrListCutOff reports that a list ended before its brackets were closed.
	ErrListCutOff = errors.New("list ended before its brackets were closed")
	// ErrListTooLong reports that a list is longer than the limit passed to ListReader.Add.
	ErrListTooLong = errors.New("list is over the limit")
)

// ListReader assembles JSON lists from lines. A list may be indented and span several lines. A list is complete when all its brackets are
// closed. A JSON string can't span lines. A line that ends within a string therefore completes the document, which then fails to decode.
type ListReader struct {
	document []byte // the lines of the incomplete list
	depth    int    // number of brackets that are open
}

// Add adds a line. It returns the document that the line completes, or nil if more lines are needed. An empty line is a keep-alive, which
// is never sent within a list. If a list is incomplete when an empty line is added, Add returns ErrListCutOff. limit is the maximum length
// of a document in bytes.
func (r *ListReader) Add(line []byte, limit int) (document []byte, err error) {
	if len(line) == 0 {
		return nil, r.End()
	}
	if len(r.document) > 0 && isCompleteList(line) {
		return nil, ErrListCutOff // the previous list was not completed
	}
	endsInString := r.countBrackets(line)
	if len(r.document)+len(line) > limit {
		return nil, fmt.Errorf("%w of %d bytes", ErrListTooLong, limit)
	}
	r.document = append(r.document, line...)
	if r.depth > 0 && !endsInString {
		return nil, nil
	}
	document, *r = r.document, ListReader{}
	return document, nil
}

// End returns ErrListCutOff if a list has begun and is not complete. It has to be called at the end of the input.
func (r *ListReader) End() error {
	if len(r.document) > 0 {
		return ErrListCutOff
	}
	return nil
}

// isCompleteList reports whether a single line is a complete list.
func isCompleteList(line []byte) bool {
	list, err := ReadList(line)
	return err == nil && list.Version > 0
}

// countBrackets updates the depth by the brackets of a line that are outside of strings. It reports whether the line ends within a string.
func (r *ListReader) countBrackets(line []byte) (endsInString bool) {
	inString, isEscaped := false, false
	for _, c := range line {
		switch {
		case isEscaped:
			isEscaped = false
		case inString && c == '\\':
			isEscaped = true
		case c == '"':
			inString = !inString
		case inString:
		case c == '{' || c == '[':
			r.depth++
		case c == '}' || c == ']':
			r.depth--
		}
	}
	return inString
}

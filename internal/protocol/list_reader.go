package protocol

import (
	"errors"
	"fmt"
)

var (
	// ErrListCutOff says that a list ended before its brackets were closed.
	ErrListCutOff = errors.New("list ended before its brackets were closed")
	// ErrListTooLong says that a list is longer than its reader allows.
	ErrListTooLong = errors.New("list is over the limit")
)

// ListReader puts together lists that may be indented over several lines. A list is complete when its brackets are closed; a JSON string
// never goes on in the next line.
type ListReader struct {
	document []byte // the lines so far
	depth    int    // brackets that are open
}

// Add takes a line. It returns the document that the line completes, or nil while more has to come. An empty line is a keep-alive, which
// is never sent within a list: one that has begun will not be completed. limit bounds a document's length.
func (r *ListReader) Add(line []byte, limit int) (document []byte, err error) {
	if len(line) == 0 {
		return nil, r.End()
	}
	if len(r.document) > 0 && isCompleteList(line) {
		return nil, ErrListCutOff // the list before lacks its end
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

// End returns ErrListCutOff where a list has begun and is not complete.
func (r *ListReader) End() error {
	if len(r.document) > 0 {
		return ErrListCutOff
	}
	return nil
}

// isCompleteList tells whether a line is a list of its own.
func isCompleteList(line []byte) bool {
	list, err := ReadList(line)
	return err == nil && list.Version > 0
}

// countBrackets counts a line's brackets outside of strings, and tells whether the line ends within a string.
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

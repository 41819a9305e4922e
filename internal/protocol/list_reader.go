package protocol

import "errors"

// ListReader puts a list back together that comes over several lines: lists may come indented. A line alone is whole when its brackets
// are; within a text no line ends.
type ListReader struct {
	raw   []byte
	depth int
}

var ErrListCutOff = errors.New("a list that ends in its middle")

// Add takes a line; whole is the list that it ends, or nil while more has to come. An empty line is a sign of life, which never comes
// within a list: what has begun will not be ended.
func (m *ListReader) Add(line []byte, most int) (whole []byte, err error) {
	if len(line) == 0 {
		return nil, m.End()
	}
	if len(m.raw) > 0 {
		if next, err := ReadList(line); err == nil && next.Seq > 0 {
			return nil, ErrListCutOff // a list of its own: the one before lacks its end
		}
	}
	text, escaped := false, false
	for _, c := range line {
		switch {
		case escaped:
			escaped = false
		case text && c == '\\':
			escaped = true
		case c == '"':
			text = !text
		case text:
		case c == '{' || c == '[':
			m.depth++
		case c == '}' || c == ']':
			m.depth--
		}
	}
	if len(m.raw)+len(line) > most {
		return nil, ErrBodyTooLong
	}
	if m.raw = append(m.raw, line...); m.depth > 0 && !text {
		return nil, nil
	}
	whole, *m = m.raw, ListReader{}
	return whole, nil
}

// End tells whether a list has been cut off.
func (m *ListReader) End() error {
	if len(m.raw) > 0 {
		return ErrListCutOff
	}
	return nil
}

package rollout

import (
	"bufio"
	"fmt"
	"io"
	"strings"

	"switchfork/internal/policy"
	"switchfork/internal/protocol"
	"switchfork/internal/ratelog"
)

// rolloutEvent is the type of the server-sent events that hold a rollout update.
const rolloutEvent = "ROLLOUT"

// eventScanner reads updates and heartbeats from a stream of server-sent events. An event is used only if the empty line that ends it has been
// read, because an event that is cut off may still parse, with other values.
type eventScanner struct {
	lines     *bufio.Scanner
	eventType string // type of the event that is being read
	data      string
	update    *policy.RolloutUpdate // the update that scan has read; nil for a heartbeat
	err       error                 // the reason why scan has returned false; nil at the end of the stream
}

func newEventScanner(stream io.Reader) *eventScanner {
	return &eventScanner{lines: bufio.NewScanner(stream)}
}

// scan reads up to the next update or heartbeat. It returns false at the end of the stream and after an error, such as a line that can't be
// parsed.
func (s *eventScanner) scan() bool {
	for s.lines.Scan() {
		line := s.lines.Text()
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case line == "":
			if s.endEvent(); s.update != nil || s.err != nil {
				return s.err == nil
			}
		case field == "": // a comment, which the controller sends as a heartbeat
			s.update = nil
			return true
		case field == "event":
			s.eventType = value
		case field == "data":
			s.data = value
		case field == "id", field == "retry": // not used
		default:
			s.err = fmt.Errorf("got the line %.40q, want an event's field or a comment", line)
			return false
		}
	}
	s.err = s.lines.Err()
	return false
}

// endEvent parses the event that the empty line has ended. Events of other types are skipped.
func (s *eventScanner) endEvent() {
	eventType, data := s.eventType, s.data
	s.eventType, s.data, s.update = "", "", nil
	switch {
	case eventType == rolloutEvent:
		update, err := protocol.ReadRolloutForm(data)
		if err != nil {
			s.err = fmt.Errorf("unreadable rollout event: %w", err)
			return
		}
		s.update = &update
	case data != "":
		ratelog.Warn("event type", "rollout event of unknown type skipped", "event_type", fmt.Sprintf("%.40q", eventType))
	}
}

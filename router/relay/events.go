package relay

import "bytes"

// idField is the prefix of the line that holds the ID of an event.
var idField = []byte("id:")

// eventScanner finds the ends of events in bytes that arrive piece by piece. It looks at each
// byte once, however long an event is.
type eventScanner struct {
	// complete is the length of the complete events, lineStart where the first incomplete
	// line starts, and next where the search for its end goes on.
	complete  int
	lineStart int
	next      int
}

// scan returns the length of the complete events that b begins with. b is what it was at the
// last call, with further bytes.
func (s *eventScanner) scan(b []byte) (complete int) {
	for {
		n := bytes.IndexByte(b[s.next:], '\n')
		if n < 0 {
			s.next = len(b)
			return s.complete
		}
		end := s.next + n
		blank := end == s.lineStart || end == s.lineStart+1 && b[s.lineStart] == '\r'
		s.lineStart, s.next = end+1, end+1
		if blank {
			s.complete = end + 1
		}
	}
}

// discard tells that the complete events have been removed from the bytes.
func (s *eventScanner) discard() {
	s.lineStart -= s.complete
	s.next -= s.complete
	s.complete = 0
}

// firstEvent returns the first of complete events, with the blank line that ends it.
func firstEvent(events []byte) []byte {
	for at := 0; ; {
		n := bytes.IndexByte(events[at:], '\n')
		if n < 0 {
			return events
		}
		blank := n == 0 || n == 1 && events[at] == '\r'
		at += n + 1
		if blank {
			return events[:at]
		}
	}
}

// eventID returns the ID of an event, or an empty string.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

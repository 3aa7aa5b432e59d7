package inbound

const (
	// freeHeadBytes is the memory of a head that needs no reservation. It is more than most take.
	freeHeadBytes = 16 << 10

	// fieldBytes is the memory that a field takes beside its bytes, in the request and in its copy
	// for a backend server.
	fieldBytes = 192
)

// headScanner follows the bytes of a request's head up to its end.
type headScanner struct {
	// bytes and lines are those of the head so far. lineBytes are those of the current line without
	// its end.
	bytes     int
	lines     int
	lineBytes int
	ended     bool
}

// scan takes the next bytes that arrived.
func (s *headScanner) scan(data []byte) {
	for _, b := range data {
		if s.ended {
			return
		}
		s.bytes++
		switch b {
		case '\r':
		case '\n':
			s.ended = s.lineBytes == 0 && s.lines > 0
			s.lines++
			s.lineBytes = 0
		default:
			s.lineBytes++
		}
	}
}

// memory returns the memory that the head takes once it is parsed, in bytes.
func (s *headScanner) memory() int64 { return int64(s.bytes) + int64(s.lines)*fieldBytes }

package attempt

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"sync"

	"github.com/juju/errors"
)

const (
	// ErrEventTooLong means that an event exceeds the maximum size.
	ErrEventTooLong = errors.ConstError("event too long")

	initialBufferSize = 8 << 10
	maxEventSize      = 1 << 20
)

// The parts of an event that are matched. Quotes inside a JSON string are
// escaped, so the patterns for keys don't match string values.
var (
	idField         = []byte("id:")
	dataField       = []byte("data:")
	finishReasonKey = []byte(`"finish_reason":`)
	usageKey        = []byte(`"usage":`)
	doneData        = []byte("[DONE]")
	nullValue       = []byte("null")
)

// bufferPool holds the read buffers of ended streams.
var bufferPool = sync.Pool{New: func() any {
	b := make([]byte, initialBufferSize)
	return &b
}}

// rawEvent is one event as it was received.
type rawEvent struct {
	// id is the number of the event, or -1 if it has no valid one.
	id   int
	data []byte

	// raw holds the data lines and the blank line.
	raw []byte
}

// eventReader splits a stream into events without copying them.
type eventReader struct {
	source io.Reader
	pooled *[]byte
	buffer []byte
	start  int
	end    int
}

// newEventReader returns a reader with a buffer from the pool. Its close method
// must be called.
func newEventReader(source io.Reader) *eventReader {
	pooled, _ := bufferPool.Get().(*[]byte)
	return &eventReader{source: source, pooled: pooled, buffer: *pooled}
}

// close returns the buffer to the pool. Events returned before are no longer
// valid.
func (r *eventReader) close() {
	bufferPool.Put(r.pooled)
	r.buffer, r.pooled = nil, nil
}

// onlyBlankLines reports whether the unparsed part of the buffer is only blank
// lines.
func (r *eventReader) onlyBlankLines() bool {
	return len(bytes.TrimSpace(r.buffer[r.start:r.end])) == 0
}

// fill reads more bytes into the buffer, which grows up to maxEventSize. Events
// returned before are no longer valid.
func (r *eventReader) fill() error {
	if r.start > 0 {
		r.end = copy(r.buffer, r.buffer[r.start:r.end])
		r.start = 0
	}
	if r.end == len(r.buffer) {
		if len(r.buffer) >= maxEventSize {
			return ErrEventTooLong
		}
		r.buffer = append(r.buffer, make([]byte, len(r.buffer))...)
	}
	n, err := r.source.Read(r.buffer[r.end:])
	r.end += n
	if n > 0 {
		return nil
	}
	return err
}

// next returns the next event that is complete in the buffer. It skips events
// without data, such as comments.
func (r *eventReader) next() (rawEvent, bool) {
	for {
		event, length := parseEvent(r.buffer[r.start:r.end])
		if length == 0 {
			return rawEvent{}, false
		}
		r.start += length
		if event.raw != nil {
			return event, true
		}
	}
}

// parseEvent parses one event and returns its length including the blank line,
// or zero if the event is not complete.
func parseEvent(b []byte) (rawEvent, int) {
	event := rawEvent{id: -1}
	first := -1
	for at := 0; ; {
		n := bytes.IndexByte(b[at:], '\n')
		if n < 0 {
			return rawEvent{}, 0
		}
		line := bytes.TrimSuffix(b[at:at+n], []byte{'\r'})
		switch {
		case len(line) == 0:
			if first >= 0 {
				event.raw = b[first : at+n+1]
			}
			return event, at + n + 1
		case bytes.HasPrefix(line, dataField):
			if first < 0 {
				first = at
				event.data = fieldValue(line, len(dataField))
			}
		case bytes.HasPrefix(line, idField):
			// An id line after a data line would be part of raw and reach the
			// caller, so it makes the event invalid.
			event.id = parseID(fieldValue(line, len(idField)))
			if first >= 0 {
				event.id = -1
			}
		}
		at += n + 1
	}
}

// fieldValue returns the value of a line whose field name has the given length.
func fieldValue(line []byte, name int) []byte {
	return bytes.TrimPrefix(line[name:], []byte{' '})
}

// parseID parses a number of at most 10 digits. It returns -1 for anything else.
func parseID(b []byte) int {
	if len(b) == 0 || len(b) > len("2147483647") {
		return -1
	}
	number := 0
	for _, digit := range b {
		if digit < '0' || digit > '9' {
			return -1
		}
		number = 10*number + int(digit-'0')
	}
	return number
}

// kindOf returns the kind of an event with this data.
func kindOf(data []byte) Kind {
	switch {
	case bytes.Equal(data, doneData):
		return KindDone
	case hasNonNullValue(data, finishReasonKey):
		return KindFinish
	case hasNonNullValue(data, usageKey):
		return KindUsage
	}
	return KindToken
}

// hasNonNullValue reports whether data contains the key with a value other than
// null.
func hasNonNullValue(data, key []byte) bool {
	for {
		at := bytes.Index(data, key)
		if at < 0 {
			return false
		}
		data = bytes.TrimLeft(data[at+len(key):], " ")
		if len(data) > 0 && !bytes.HasPrefix(data, nullValue) {
			return true
		}
	}
}

// usageBody is the token usage in a response.
type usageBody struct {
	Usage *struct {
		Prompt  int `json:"prompt_tokens"`
		Output  int `json:"completion_tokens"`
		Details struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// parseUsage returns the token counts of a response, or zeros if it has none.
func parseUsage(data []byte) Usage {
	var body usageBody
	if err := json.Unmarshal(data, &body); err != nil || body.Usage == nil {
		return Usage{}
	}
	return Usage{
		Prompt: body.Usage.Prompt,
		Cached: body.Usage.Details.Cached,
		Output: body.Usage.Output,
	}
}

// formatEventID returns the value of the Last-Event-ID header for an event number.
func formatEventID(number int) string {
	return strconv.Itoa(number)
}

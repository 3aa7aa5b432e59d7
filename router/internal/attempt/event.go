package attempt

import "net/http"

// Kind is the kind of data that an event of a response carries.
type Kind uint8

const (
	// KindToken events carry output.
	KindToken Kind = iota

	// KindFinish events carry the finish reason of the output.
	KindFinish

	// KindUsage events carry token counts.
	KindUsage

	// KindDone is the [DONE] event at the end of a stream. It is passed on only
	// if the response is complete.
	KindDone

	// KindBody is the complete body of a non-streaming response.
	KindBody
)

// Event is one piece of a response.
type Event struct {
	Kind Kind

	// Number is the position of the event in its stream, starting at 1.
	Number int

	// Raw holds the bytes to send to the caller: for a stream the data lines of
	// the event and the blank line, without the id; otherwise the body. It is
	// valid only during the call that passes it.
	Raw []byte
}

// Head is the status and the headers of a response.
type Head struct {
	Status int

	// Header holds the end-to-end headers of the server's response. It must not
	// be changed.
	Header http.Header
}

// Sink receives the response for the caller. An error from any method means that
// the caller went away; an attempt on an engine is then canceled.
type Sink interface {
	// Begin is called once, before the first event. From then on the response to
	// the caller counts as started.
	Begin(head Head) error

	// Event is called for each event in order. It may buffer the event until
	// Flush.
	Event(e Event) error

	// Flush is called when no further event has arrived yet and at the end of
	// the response.
	Flush() error
}

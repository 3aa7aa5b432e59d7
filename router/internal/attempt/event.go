package attempt

import "net/http"

// Kind is what an event of an answer carries.
type Kind uint8

const (
	// KindToken events carry output.
	KindToken Kind = iota

	// KindFinish events carry the reason for which the output ends.
	KindFinish

	// KindUsage events carry token counts.
	KindUsage

	// KindDone is the end mark of a stream. It is given only for an answer
	// that is whole.
	KindDone

	// KindBody is a whole answer that was not streamed.
	KindBody
)

// Event is one piece of an answer.
type Event struct {
	Kind Kind

	// Number counts the events of a stream from 1.
	Number int

	// Raw is what the caller is to be sent: for a stream the data lines of
	// the event with the blank line, without the id, else the body. It is
	// valid only during the call that passes it.
	Raw []byte
}

// Head is the head of an answer.
type Head struct {
	Status int

	// Header holds the end-to-end headers of the server's answer. It must not
	// be changed.
	Header http.Header
}

// Sink takes the answer for the caller. An error of any method means that the
// caller went away; the attempt is then canceled.
type Sink interface {
	// Begin is called once, before the first event. From then on the caller
	// has seen a part of the answer.
	Begin(head Head) error

	// Event is called for each event in order. It need not send at once.
	Event(e Event) error

	// Flush is called when the next event has not arrived yet.
	Flush() error
}

// Package response decides what the head of an HTTP/1.1 response is. A faulty server may send
// bytes that look like one to a lenient parser, which passes them on or takes other bytes for the
// body. It is used wherever the project reads responses.
package response

import (
	"bytes"
	"strings"

	"github.com/juju/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	// MaxHeadBytes bounds a head, with interim responses before it.
	MaxHeadBytes = 32 << 10

	// MaxHeadLines bounds its lines. Short ones take far more memory once they are parsed than
	// bytes on the wire.
	MaxHeadLines = 512

	// ErrMalformed means that what arrived is no head of a response.
	ErrMalformed = errors.ConstError("malformed head of response")

	// ErrTooLong means that a head exceeds MaxHeadBytes or MaxHeadLines.
	ErrTooLong = errors.ConstError("head of response too long")
)

// The status codes of interim responses are below firstFinalStatus. A change of protocols is none,
// as nobody asks for it.
const (
	firstInterimStatus = 100
	switchingProtocols = 101
	firstFinalStatus   = 200
	lastStatus         = 599
)

const (
	// versionBytes and statusDigits are the lengths of the version and the code in a status line.
	versionBytes = len("HTTP/1.1")
	statusDigits = 3

	// maxQuotedBytes is how much of a malformed line an error quotes.
	maxQuotedBytes = 60

	// The names of fields that say how a body ends, in lower case.
	contentLengthField   = "content-length"
	transferCodingsField = "transfer-encoding"
)

// Head checks the lines of a head in turn, with the interim responses before it.
type Head struct {
	bytes, lines int

	// begun says that the status line of the current response was checked. status is its code, and
	// old says that its version is 1.0.
	begun  bool
	status int
	old    bool

	// length is the value of Content-Length, if there is one, and coded says that there is a
	// transfer coding.
	length string
	coded  bool
}

// AddLine checks the next line, with its end. It reports whether the head is complete. The error
// is ErrMalformed or ErrTooLong.
func (h *Head) AddLine(line []byte) (complete bool, err error) {
	h.bytes += len(line)
	h.lines++
	if h.bytes > MaxHeadBytes || h.lines > MaxHeadLines {
		return false, ErrTooLong
	}
	text := string(bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r")))
	switch {
	case !h.begun:
		return false, h.addStatusLine(text)
	case text != "":
		return false, h.addField(text)
	case h.status < firstFinalStatus:
		*h = Head{bytes: h.bytes, lines: h.lines}
		return false, nil
	}
	return true, nil
}

// addStatusLine checks a status line.
func (h *Head) addStatusLine(line string) error {
	if len(line) < versionBytes+1+statusDigits {
		return malformed("status line", line)
	}
	version, rest := line[:versionBytes], line[versionBytes:]
	code, reason := rest[1:1+statusDigits], rest[1+statusDigits:]
	h.begun, h.old, h.status = true, version == "HTTP/1.0", 0
	for _, digit := range code {
		if digit < '0' || digit > '9' {
			return malformed("status line", line)
		}
		h.status = 10*h.status + int(digit-'0')
	}
	sound := (h.old || version == "HTTP/1.1") && rest[0] == ' ' && (reason == "" || reason[0] == ' ') &&
		httpguts.ValidHeaderFieldValue(reason) && h.status >= firstInterimStatus && h.status <= lastStatus && h.status != switchingProtocols
	if !sound {
		return malformed("status line", line)
	}
	return nil
}

// addField checks a field. A line that continues the one before is malformed, as no sender may
// make one.
func (h *Head) addField(line string) error {
	name, value, err := checkField(line)
	if err != nil {
		return err
	}
	switch strings.ToLower(name) {
	case contentLengthField:
		if !isNumber(value) || (h.length != "" && h.length != value) {
			return malformed("length", line)
		}
		h.length = value
	case transferCodingsField:
		if h.old || h.coded || !strings.EqualFold(value, "chunked") {
			return malformed("transfer coding", line)
		}
		h.coded = true
	}
	if h.coded && h.length != "" {
		return malformed("framing by length and chunks", line)
	}
	return nil
}

// Trailer checks the lines of a trailer in turn.
type Trailer struct {
	bytes, lines int
}

// AddLine checks the next line, with its end. It reports whether the trailer is complete.
func (t *Trailer) AddLine(line []byte) (complete bool, err error) {
	t.bytes += len(line)
	t.lines++
	if t.bytes > MaxHeadBytes || t.lines > MaxHeadLines {
		return false, ErrTooLong
	}
	text := string(bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r")))
	if text == "" {
		return true, nil
	}
	_, _, err = checkField(text)
	return false, err
}

// checkField returns the name and the value of a field, or an error if it is malformed.
func checkField(line string) (name, value string, err error) {
	name, value, ok := strings.Cut(line, ":")
	value = strings.Trim(value, " \t")
	if !ok || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
		return "", "", malformed("field", line)
	}
	return name, value, nil
}

// isNumber reports whether a text consists of digits.
func isNumber(text string) bool {
	return text != "" && strings.Trim(text, "0123456789") == ""
}

// malformed returns an error that quotes the start of a line.
func malformed(what, line string) error {
	return errors.Annotatef(ErrMalformed, "%s %q", what, line[:min(len(line), maxQuotedBytes)])
}

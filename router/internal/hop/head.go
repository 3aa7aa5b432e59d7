package hop

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"

	"github.com/juju/errors"

	"snipetally.example/coordination/response"
)

const (
	// maxUnmatchedResponses is the largest number of responses to other requests
	// that are skipped, and maxUnmatchedBytes is the length in bytes that the body
	// of each must stay below.
	maxUnmatchedResponses = 2
	maxUnmatchedBytes     = 64 << 10
)

// awaitResponse reads responses until that of the exchange arrives, and skips a
// limited number of others.
func awaitResponse(c *conn, r Request, write *requestWrite) (*http.Response, error) {
	for skipped := range maxUnmatchedResponses + 1 {
		response, err := readResponse(c, r.Method, write)
		if err != nil {
			return nil, fmt.Errorf("read response: %w", err)
		}
		if r.Matches(response.Header, !c.reused && skipped == 0) {
			return response, nil
		}
		_, err = io.CopyN(io.Discard, response.Body, maxUnmatchedBytes)
		if !errors.Is(err, io.EOF) || response.Close {
			return nil, fmt.Errorf("skip response: %w", ErrUnmatchedResponses)
		}
	}
	return nil, ErrUnmatchedResponses
}

// readResponse reads the head of a response and skips interim (1xx) ones. The body is read from the
// connection.
func readResponse(c *conn, method string, write *requestWrite) (*http.Response, error) {
	head, err := readHead(c.reader)
	if err != nil {
		return nil, err
	}
	request := &http.Request{Method: method}
	parsed, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), request)
	if err != nil {
		return nil, fmt.Errorf("parse head: %w", err)
	}
	parsed.Body = newBody(c, parsed, method, write)
	return parsed, nil
}

// readHead reads and checks the head of a response, and returns it without the interim ones before
// it.
func readHead(reader *bufio.Reader) ([]byte, error) {
	var checked response.Head
	var head []byte
	for {
		line, err := readLine(reader)
		if err != nil {
			return nil, err
		}
		complete, err := checked.AddLine(line)
		if err != nil {
			return nil, fmt.Errorf("check head: %w", err)
		}
		head = append(head, line...)
		if complete {
			return head, nil
		}
		if len(bytes.TrimSpace(line)) == 0 {
			head = head[:0] // It was the head of an interim response.
		}
	}
}

// readLine reads a line with its end.
func readLine(reader *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := reader.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case err == nil:
			return line, nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, fmt.Errorf("read line after %d bytes: %w", len(line), noEOF(err))
		case len(line) > response.MaxHeadBytes:
			return nil, response.ErrTooLong
		}
	}
}

// noEOF returns the error, or io.ErrUnexpectedEOF for an end where there must be none.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

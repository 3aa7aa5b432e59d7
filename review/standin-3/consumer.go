package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// lastID numbers the consumers' attempts.
var lastID atomic.Int64

// nextID returns the ID of a new attempt.
func nextID() string { return fmt.Sprintf("a%012x", lastID.Add(1)) }

// answer is what a consumer got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// head returns the head of a request.
func head(method, path, id string, deadline time.Duration, fields ...string) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, id, deadline.Milliseconds())
	if !strings.Contains(strings.Join(fields, ""), "X-Credential") {
		text += "X-Credential: key-1\r\n"
	}
	if len(fields) > 0 {
		text += strings.Join(fields, "\r\n") + "\r\n"
	}
	return text
}

// ask makes one request on a new connection, with a body.
func ask(address, method, path, id, body string, deadline time.Duration, fields ...string) answer {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(deadline))
	text := head(method, path, id, deadline, fields...)
	if method != http.MethodGet {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c, text+"\r\n"+body); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(c))
}

// readAnswer reads one response.
func readAnswer(reader *bufio.Reader) answer {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return answer{err: err}
	}
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

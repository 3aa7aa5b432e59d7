package response_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/coordination/response"
)

// respondInTurn answers each request on a listener with the next text, whose parts are written one
// after the other.
func respondInTurn(t *testing.T, texts ...[]string) (address string) {
	t.Helper()
	var listen net.ListenConfig
	listener, err := listen.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for _, parts := range texts {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			for _, part := range parts {
				_, _ = io.WriteString(conn, part)
			}
		}
	}()
	return listener.Addr().String()
}

// checkedClient returns a client of the standard library whose connections are checked.
func checkedClient() *http.Client {
	return &http.Client{Timeout: time.Minute, Transport: &http.Transport{DialContext: response.Checked((&net.Dialer{}).DialContext)}}
}

// get makes a call and returns the body of the response.
func get(t *testing.T, client *http.Client, address string) (string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address, nil)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}

// Guards against sound responses that are taken for malformed ones, on a new connection and on a
// kept one, whatever the pieces in which they arrive.
func TestCheckedConnectionsPassResponsesOn(t *testing.T) {
	g := gomega.NewWithT(t)
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nA b: c\r\n\r\n"
	address := respondInTurn(t, []string{sound}, []string{"HTTP/1.1 103 Early", " Hints\r\n\r\n", sound[:25], sound[25:45], sound[45:]})
	client := checkedClient()
	for range 2 {
		body, err := get(t, client, address)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body).To(gomega.Equal("A b: c\r\n\r\n"))
	}
}

// Guards against clients of the standard library that take a malformed response for one, in one piece or in two. Of
// two, the client may have read the first one before the error, and then says itself that what it has is malformed.
func TestCheckedConnectionsGiveNoMalformedResponse(t *testing.T) {
	const first, second = "HTTP/1.1 200 OK\r\nA b", ": c\r\nContent-Length: 0\r\n\r\n"
	g := gomega.NewWithT(t)
	_, err := get(t, checkedClient(), respondInTurn(t, []string{first + second}))
	g.Expect(err).To(gomega.MatchError(response.ErrMalformed))
	_, err = get(t, checkedClient(), respondInTurn(t, []string{first, second}))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("malformed")))
}

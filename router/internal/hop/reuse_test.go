package hop_test

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/hop"
)

// Guards against requests that are lost because a kept connection broke before a
// byte of them was written: no server can have run them, so that they are sent
// on a new connection.
func TestRequestIsSentAgainIfNothingWasWritten(t *testing.T) {
	g := gomega.NewWithT(t)

	// arrivalTime is far longer than a reset takes on the loopback interface.
	const arrivalTime = 50 * time.Millisecond
	reset, wasReset := make(chan struct{}), make(chan struct{})
	server := startTestServer(t, func(server *testServer, conn net.Conn, reader *bufio.Reader) {
		server.readRequest(reader)
		_, _ = io.WriteString(conn, encodeResponse("a", "first"))
		<-reset
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
		close(wasReset)
	}, func(server *testServer, conn net.Conn, reader *bufio.Reader) {
		server.readRequest(reader)
		_, _ = io.WriteString(conn, encodeResponse("b", "second"))
	})
	pool := hop.NewPool(server.address)
	_, err := send(t, pool, "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	request := newRequest("b")
	checks := 0
	request.BeforeWrite = func() error {
		if checks++; checks == 1 {
			close(reset)
			<-wasReset
			time.Sleep(arrivalTime)
		}
		return nil
	}
	response, err := pool.Send(t.Context(), request)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer response.Close()
	body, err := io.ReadAll(response)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(body)).To(gomega.Equal("second"))
	g.Expect(checks).To(gomega.Equal(2), "the server is asked for again before each write")
	g.Expect(server.requests.Load()).To(gomega.Equal(int32(2)))
}

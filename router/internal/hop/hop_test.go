package hop_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/onsi/gomega"

	"snipetally.example/router/internal/hop"
	"snipetally.example/router/internal/link"
)

// script answers the requests on one connection. It returns to close it.
type script func(conn net.Conn, reader *bufio.Reader)

// standIn is a backend server that plays a script on each connection.
type standIn struct {
	address     string
	connections atomic.Int32
	requests    atomic.Int32
}

func startStandIn(t *testing.T, scripts ...script) *standIn {
	t.Helper()
	var listen net.ListenConfig
	listener, err := listen.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &standIn{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			n := int(s.connections.Add(1)) - 1
			go func() {
				defer func() { _ = conn.Close() }()
				scripts[min(n, len(scripts)-1)](conn, bufio.NewReader(conn))
			}()
		}
	}()
	return s
}

// readRequest reads one request and returns its body.
func (s *standIn) readRequest(reader *bufio.Reader) (*http.Request, string) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil, ""
	}
	body, _ := io.ReadAll(request.Body)
	s.requests.Add(1)
	return request, string(body)
}

func answer(attempt, body string) string {
	return "HTTP/1.1 200 OK\r\nAttempt: " + attempt + "\r\nContent-Length: " +
		string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func request(attempt string) hop.Request {
	return hop.Request{
		Method: http.MethodPost, Target: "/a//b/../c?q=%2F", Host: "h.example",
		Header: http.Header{"X-A": {"1"}}, Body: []byte("body"), HasBody: true,
		Matches: func(header http.Header) bool { return header.Get("Attempt") == attempt },
	}
}

// send makes an exchange and returns the body.
func send(t *testing.T, pool *hop.Pool, attempt string) (string, error) {
	t.Helper()
	a, err := pool.Send(t.Context(), request(attempt))
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

func TestRequestGoesOutAsItCame(t *testing.T) {
	g := gomega.NewWithT(t)
	seen := make(chan string, 1)
	server := startStandIn(t, func(conn net.Conn, reader *bufio.Reader) {
		line, _ := reader.ReadString('\n')
		seen <- strings.TrimSpace(line)
		for line != "\r\n" {
			line, _ = reader.ReadString('\n')
		}
		_, _ = io.CopyN(io.Discard, reader, 4)
		_, _ = io.WriteString(conn, answer("a", "ok"))
	})
	body, err := send(t, hop.NewPool(server.address), "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.Equal("ok"))
	g.Expect(<-seen).To(gomega.Equal("POST /a//b/../c?q=%2F HTTP/1.1"))
}

func TestAnswerOfAnotherExchangeIsPassedOver(t *testing.T) {
	g := gomega.NewWithT(t)
	var server *standIn
	server = startStandIn(t, func(conn net.Conn, reader *bufio.Reader) {
		server.readRequest(reader)
		_, _ = io.WriteString(conn, answer("a", "first"))
		server.readRequest(reader)
		_, _ = io.WriteString(conn, answer("a", "again")+answer("b", "right"))
	})
	pool := hop.NewPool(server.address)
	body, err := send(t, pool, "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.Equal("first"))
	body, err = send(t, pool, "b")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.Equal("right"))
	g.Expect(server.connections.Load()).To(gomega.Equal(int32(1)))
}

func TestConnectionWithBytesAfterAnAnswerIsNotUsedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	var server *standIn
	server = startStandIn(t, func(conn net.Conn, reader *bufio.Reader) {
		server.readRequest(reader)
		_, _ = io.WriteString(conn, answer("a", "first")+answer("x", "extra"))
		server.readRequest(reader)
	}, func(conn net.Conn, reader *bufio.Reader) {
		server.readRequest(reader)
		_, _ = io.WriteString(conn, answer("b", "right"))
	})
	pool := hop.NewPool(server.address)
	_, err := send(t, pool, "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	body, err := send(t, pool, "b")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.Equal("right"))
	g.Expect(server.connections.Load()).To(gomega.Equal(int32(2)))
}

func TestRequestIsNeverWrittenTwice(t *testing.T) {
	g := gomega.NewWithT(t)
	var server *standIn
	server = startStandIn(t, func(_ net.Conn, reader *bufio.Reader) {
		server.readRequest(reader)
	})
	_, err := send(t, hop.NewPool(server.address), "a")
	var failure *link.ExchangeError
	g.Expect(errors.As(err, &failure)).To(gomega.BeTrue())
	g.Expect(failure.MaybeSent).To(gomega.BeTrue())
	g.Expect(server.requests.Load()).To(gomega.Equal(int32(1)))
}

func TestRefusedConnectionMeansNotSent(t *testing.T) {
	g := gomega.NewWithT(t)
	var listen net.ListenConfig
	listener, err := listen.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	address := listener.Addr().String()
	g.Expect(listener.Close()).To(gomega.Succeed())
	_, err = send(t, hop.NewPool(address), "a")
	var failure *link.ExchangeError
	g.Expect(errors.As(err, &failure)).To(gomega.BeTrue())
	g.Expect(failure.MaybeSent).To(gomega.BeFalse())
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	head := "HTTP/1.1 200 OK\r\nAttempt: a\r\n\r\n"
	var server *standIn
	server = startStandIn(t, func(conn net.Conn, reader *bufio.Reader) {
		server.readRequest(reader)
		_, _ = io.WriteString(conn, head+"whole")
	}, func(conn net.Conn, reader *bufio.Reader) {
		server.readRequest(reader)
		_, _ = io.WriteString(conn, head+"part")
		time.Sleep(10 * time.Millisecond) // Lets the part arrive before the reset discards it.
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	pool := hop.NewPool(server.address)
	body, err := send(t, pool, "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.Equal("whole"))
	_, err = send(t, pool, "a")
	g.Expect(err).To(gomega.HaveOccurred())
}

func TestShortAnswerIsNotWhole(t *testing.T) {
	g := gomega.NewWithT(t)
	var server *standIn
	server = startStandIn(t, func(conn net.Conn, reader *bufio.Reader) {
		server.readRequest(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nAttempt: a\r\nContent-Length: 9\r\n\r\nshort")
	})
	_, err := send(t, hop.NewPool(server.address), "a")
	g.Expect(err).To(gomega.MatchError(io.ErrUnexpectedEOF))
}

// TestEarlyAnswerEndsTheConnection has a server that answers before it has read
// a long body. The rest of the body may be on its way, so that the connection
// carries no other request.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	release := make(chan struct{})
	server := startStandIn(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _ = reader.ReadString('\n')
		_, _ = io.WriteString(conn, answer("a", "early"))
		<-release
	})
	defer close(release)
	pool := hop.NewPool(server.address)
	long := request("a")
	long.Body = make([]byte, 8<<20)
	for range 2 {
		a, err := pool.Send(t.Context(), long)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		body, err := io.ReadAll(a)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(body)).To(gomega.Equal("early"))
		a.Close()
	}
	g.Expect(server.connections.Load()).To(gomega.Equal(int32(2)))
}

func TestCallerThatLeavesClosesTheConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	closed := make(chan struct{})
	arrived := make(chan struct{})
	server := startStandIn(t, func(_ net.Conn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		close(arrived)
		_, _ = io.Copy(io.Discard, reader)
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := hop.NewPool(server.address).Send(ctx, request("a"))
	g.Expect(err).To(gomega.MatchError(context.Canceled))
	<-closed
}

package hop_test

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"snipetally.example/router/internal/hop"
)

// setDeaf makes the kernel drop all that arrives on a connection, like a host or
// a path that is silent, or accept it again.
func setDeaf(t *testing.T, c net.Conn, deaf bool) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		if deaf {
			program := unix.SockFprog{Len: uint16(len(dropAll)), Filter: &dropAll[0]}
			optErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
			return
		}
		optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
	})
	if err != nil || optErr != nil {
		t.Fatal(err, optErr)
	}
}

// Guards against exchanges that are given up because one keep-alive probe was
// not answered: the server works on a request, its host is silent for 1.35 s, and
// then it answers.
func TestProbesOutliveASilentHost(t *testing.T) {
	g := gomega.NewWithT(t)
	const (
		// The first probe is sent after 2 s, and the next one is due a second
		// later.
		quietTime   = 1850 * time.Millisecond
		silenceTime = 1350 * time.Millisecond
	)
	server := startTestServer(t, func(server *testServer, conn net.Conn, reader *bufio.Reader) {
		server.readRequest(reader)
		time.Sleep(quietTime)
		setDeaf(t, conn, true)
		time.Sleep(silenceTime)
		setDeaf(t, conn, false)
		_, _ = io.WriteString(conn, encodeResponse("a", "late"))
	})
	body, err := send(t, hop.NewPool(server.address), "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.Equal("late"))
}

// Guards against requests that are lost because they were sent to a host that
// was silent for 1.8 s. Callers wait for 2 s at least.
func TestRequestOutlivesASilentHost(t *testing.T) {
	g := gomega.NewWithT(t)
	const silenceTime = 1800 * time.Millisecond
	silent := make(chan struct{})
	server := startTestServer(t, func(server *testServer, conn net.Conn, reader *bufio.Reader) {
		server.readRequest(reader)
		setDeaf(t, conn, true)
		_, _ = io.WriteString(conn, encodeResponse("a", "first"))
		close(silent)
		time.Sleep(silenceTime)
		setDeaf(t, conn, false)
		server.readRequest(reader)
		_, _ = io.WriteString(conn, encodeResponse("b", "late"))
	})
	pool := hop.NewPool(server.address)
	_, err := send(t, pool, "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	<-silent
	body, err := send(t, pool, "b")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.Equal("late"))
}

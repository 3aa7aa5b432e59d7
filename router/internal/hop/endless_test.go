package hop_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/hop"
	"snipetally.example/router/internal/link"
)

// Guards against a faulty server that sends a head without end, which takes memory
// until the deadline of the request.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	const maxAccepted = 32 << 20 // Far more than the head's bound and the sockets' buffers.
	filler := strings.Repeat("x", 4<<10)
	heads := map[string][2]string{
		"status line":       {"", filler},
		"field":             {"HTTP/1.1 200 OK\r\nA: ", filler},
		"fields":            {"HTTP/1.1 200 OK\r\n", "A: " + filler + "\r\n"},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\nA: " + filler + "\r\n\r\n"},
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var accepted atomic.Int64
			server := startTestServer(t, func(server *testServer, conn net.Conn, reader *bufio.Reader) {
				server.readRequest(reader)
				_, err := io.WriteString(conn, head[0])
				for err == nil && accepted.Load() < maxAccepted {
					_, err = io.WriteString(conn, head[1])
					accepted.Add(int64(len(head[1])))
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			_, err := hop.NewPool(server.address).Send(ctx, newRequest("a"))
			g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("too long")))
			var failed *link.ExchangeError
			g.Expect(err).To(gomega.BeAssignableToTypeOf(failed))
			g.Expect(accepted.Load()).To(gomega.BeNumerically("<", maxAccepted))
		})
	}
}

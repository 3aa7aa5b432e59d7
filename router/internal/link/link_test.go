package link_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/link"
	"snipetally.example/standin/network"
)

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// respondFunc returns the raw response to request number n of a connection,
// counted from 1. An empty response closes the connection.
type respondFunc func(n int, r *http.Request) string

// serve serves a pipe in the background until the pipe is closed. The returned
// counter holds the number of requests that were read completely.
func serve(pipe *network.PipeListener, respond respondFunc) *atomic.Int64 {
	runs := &atomic.Int64{}
	go func() {
		for {
			c, err := pipe.Accept()
			if err != nil {
				return
			}
			go serveConn(c, respond, runs)
		}
	}()
	return runs
}

// serveConn serves one connection until it or the server ends it.
func serveConn(c net.Conn, respond respondFunc, runs *atomic.Int64) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for n := 1; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		runs.Add(1)
		text := respond(n, request)
		if text == "" {
			return
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

// inBubble runs a test of a link to a raw server in a synctest bubble.
func inBubble(t *testing.T, respond respondFunc, test func(g *gomega.WithT, l *link.Link, runs *atomic.Int64)) {
	synctest.Test(t, func(t *testing.T) {
		pipe := network.NewPipeListener()
		runs := serve(pipe, respond)
		l := link.New(link.Config{Address: "10.0.0.1:80", Dial: pipe.DialContext})
		defer func() {
			l.Close()
			_ = pipe.Close()
		}()
		test(gomega.NewWithT(t), l, runs)
	})
}

// roundTrip makes an exchange and reads its response body.
func roundTrip(l *link.Link, r link.Request) (string, error) {
	exchange, err := l.Send(context.Background(), r)
	if err != nil {
		return "", err
	}
	defer exchange.Close()
	body, err := exchange.ReadAll(1 << 20)
	return string(body), err
}

// closeOnSecond answers the first request of a connection and closes the
// connection after it has read the second one.
func closeOnSecond(n int, _ *http.Request) string {
	if n == 1 {
		return ok
	}
	return ""
}

// replayableRequests returns requests that net/http may send a second time on its
// own.
func replayableRequests() map[string]link.Request {
	key := http.Header{"Idempotency-Key": {"k"}}
	other := http.Header{"X-Idempotency-Key": {"k"}}
	return map[string]link.Request{
		"GET":                  {Method: http.MethodGet, Path: "/"},
		"HEAD":                 {Method: http.MethodHead, Path: "/"},
		"OPTIONS":              {Method: http.MethodOptions, Path: "/"},
		"TRACE":                {Method: http.MethodTrace, Path: "/"},
		"DELETE with key":      {Method: http.MethodDelete, Path: "/", Header: key},
		"POST with key":        {Method: http.MethodPost, Path: "/", Header: key, Body: []byte("x")},
		"POST with other key":  {Method: http.MethodPost, Path: "/", Header: other, Body: []byte("x")},
		"empty POST with key":  {Method: http.MethodPost, Path: "/", Header: key},
		"unknown with key":     {Method: "BOOK", Path: "/", Header: key},
		"GET with key":         {Method: http.MethodGet, Path: "/", Header: key},
		"PUT with key, body":   {Method: http.MethodPut, Path: "/", Header: key, Body: []byte("x")},
		"OPTIONS with content": {Method: http.MethodOptions, Path: "/", Body: []byte("x")},
	}
}

// TestRequestsAreSentOnce checks that a request is not sent again after the server
// has read it and closed the connection.
func TestRequestsAreSentOnce(t *testing.T) {
	for name, request := range replayableRequests() {
		for _, newConnection := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, new connection %t", name, newConnection), func(t *testing.T) {
				inBubble(t, closeOnSecond, func(g *gomega.WithT, l *link.Link, runs *atomic.Int64) {
					_, err := roundTrip(l, link.Request{Method: http.MethodPut, Path: "/", Body: []byte("first")})
					g.Expect(err).NotTo(gomega.HaveOccurred())
					synctest.Wait()
					runs.Store(0)
					request.NewConnection = newConnection
					_, err = roundTrip(l, request)
					g.Expect(runs.Load()).To(gomega.Equal(int64(1)))
					var failure *link.ExchangeError
					if errors.As(err, &failure) {
						g.Expect(failure.MaybeSent).To(gomega.BeTrue())
					}
				})
			})
		}
	}
}

// TestPlainTransportResendsRequest shows that http.Transport by itself sends a
// request again when the server closes a reused connection after reading it.
func TestPlainTransportResendsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		pipe := network.NewPipeListener()
		runs := serve(pipe, closeOnSecond)
		client := &http.Client{Transport: &http.Transport{DialContext: pipe.DialContext}}
		for range 2 {
			request, _ := http.NewRequest(http.MethodPost, "http://10.0.0.1/", strings.NewReader("x"))
			request.Header.Set("Idempotency-Key", "k")
			response, err := client.Do(request)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			synctest.Wait()
		}
		g.Expect(runs.Load()).To(gomega.Equal(int64(3)), "http.Transport no longer resends the request")
		client.CloseIdleConnections()
		_ = pipe.Close()
	})
}

func TestRefusedConnectionIsReportedNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		pipe := network.NewPipeListener()
		_ = pipe.Close()
		l := link.New(link.Config{Address: "10.0.0.1:80", Dial: pipe.DialContext})
		_, err := roundTrip(l, link.Request{Method: http.MethodPost, Path: "/", Body: []byte("x")})
		var failure *link.ExchangeError
		g.Expect(errors.As(err, &failure)).To(gomega.BeTrue())
		g.Expect(failure.MaybeSent).To(gomega.BeFalse())
	})
}

func TestCanceledConnectIsReportedNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		never := func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		l := link.New(link.Config{Address: "10.0.0.1:80", Dial: never, ConnectTimeout: time.Second})
		_, err := roundTrip(l, link.Request{Method: http.MethodGet, Path: "/"})
		var failure *link.ExchangeError
		g.Expect(errors.As(err, &failure)).To(gomega.BeTrue())
		g.Expect(failure.MaybeSent).To(gomega.BeFalse())
		g.Expect(l.State().Failures).To(gomega.Equal(1))
	})
}

func TestNothingIsSentAfterReportedNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		near, far := net.Pipe()
		got := make(chan int, 1)
		go func() {
			n, _ := io.Copy(io.Discard, far)
			got <- int(n)
		}()
		ctx, cancel := context.WithCancel(context.Background())
		dial := func(context.Context, string, string) (net.Conn, error) {
			cancel()
			return near, nil
		}
		l := link.New(link.Config{Address: "10.0.0.1:80", Dial: dial})
		_, err := l.Send(ctx, link.Request{Method: http.MethodPost, Path: "/", Body: []byte("x")})
		var failure *link.ExchangeError
		g.Expect(errors.As(err, &failure)).To(gomega.BeTrue())
		l.Close()
		synctest.Wait()
		_ = near.Close()
		if !failure.MaybeSent {
			g.Expect(<-got).To(gomega.BeZero())
		}
	})
}

func TestResponseOfWrongLengthIsAnError(t *testing.T) {
	responses := map[string]string{
		"fewer bytes": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok",
		"more bytes":  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokay",
		"more bytes than a buffer": "HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n" +
			strings.Repeat("x", 9000) + "more",
		"more after an interim response": "HTTP/1.1 103 Early Hints\r\n\r\n" +
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokay",
		"cut chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok",
	}
	for name, text := range responses {
		for _, newConnection := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, new connection %t", name, newConnection), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					pipe := network.NewPipeListener()
					go respondOnce(pipe, text)
					l := link.New(link.Config{Address: "10.0.0.1:80", Dial: pipe.DialContext})
					_, err := roundTrip(l, link.Request{Method: http.MethodGet, Path: "/", NewConnection: newConnection})
					gomega.NewWithT(t).Expect(err).To(gomega.MatchError(link.ErrLengthMismatch))
					l.Close()
					_ = pipe.Close()
				})
			})
		}
	}
}

// respondOnce answers one request with raw bytes and closes the connection.
func respondOnce(pipe *network.PipeListener, text string) {
	c, err := pipe.Accept()
	if err != nil {
		return
	}
	_, _ = http.ReadRequest(bufio.NewReader(c))
	_, _ = io.WriteString(c, text)
	_ = c.Close()
}

func TestCompleteResponsesAreRead(t *testing.T) {
	responses := map[string]string{
		ok:                                "ok",
		"HTTP/1.1 204 No Content\r\n\r\n": "",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":                                "",
		"HTTP/1.1 103 Early Hints\r\n\r\n" + ok:                                       "ok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n":   "ok",
		"HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("x", 9000): strings.Repeat("x", 9000),
	}
	for text, body := range responses {
		inBubble(t, func(int, *http.Request) string { return text }, func(g *gomega.WithT, l *link.Link, _ *atomic.Int64) {
			for range 3 {
				got, err := roundTrip(l, link.Request{Method: http.MethodGet, Path: "/"})
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(got).To(gomega.Equal(body))
			}
		})
	}
}

func TestRedirectIsReturnedAndNotFollowed(t *testing.T) {
	redirect := "HTTP/1.1 307 Temporary Redirect\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n"
	inBubble(t, func(int, *http.Request) string { return redirect }, func(g *gomega.WithT, l *link.Link, runs *atomic.Int64) {
		exchange, err := l.Send(context.Background(), link.Request{Method: http.MethodPost, Path: "/", Body: []byte("x")})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		exchange.Close()
		g.Expect(exchange.Status).To(gomega.Equal(http.StatusTemporaryRedirect))
		g.Expect(runs.Load()).To(gomega.Equal(int64(1)))
	})
}

func TestNewConnectionIsNeverReused(t *testing.T) {
	closeAfterFirst := func(n int, _ *http.Request) string {
		if n > 1 {
			return ""
		}
		return ok
	}
	inBubble(t, closeAfterFirst, func(g *gomega.WithT, l *link.Link, runs *atomic.Int64) {
		for range 3 {
			_, err := roundTrip(l, link.Request{Method: http.MethodGet, Path: "/", NewConnection: true})
			g.Expect(err).NotTo(gomega.HaveOccurred())
		}
		g.Expect(runs.Load()).To(gomega.Equal(int64(3)))
	})
}

func TestRecordSilenceClosesIdleConnections(t *testing.T) {
	opened := &atomic.Int64{}
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		pipe := network.NewPipeListener()
		serve(pipe, func(int, *http.Request) string { return ok })
		dial := func(ctx context.Context, n, a string) (net.Conn, error) {
			opened.Add(1)
			return pipe.DialContext(ctx, n, a)
		}
		l := link.New(link.Config{Address: "10.0.0.1:80", Dial: dial})
		for range 2 {
			_, err := roundTrip(l, link.Request{Method: http.MethodGet, Path: "/"})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			synctest.Wait()
		}
		g.Expect(opened.Load()).To(gomega.Equal(int64(1)))
		l.RecordSilence()
		g.Expect(l.State().Silent).To(gomega.Equal(1))
		_, err := roundTrip(l, link.Request{Method: http.MethodGet, Path: "/"})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(opened.Load()).To(gomega.Equal(int64(2)))
		g.Expect(l.State().Silent).To(gomega.BeZero())
		l.Close()
		_ = pipe.Close()
	})
}

func TestLatencyFollowsConnectTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		pipe := network.NewPipeListener()
		serve(pipe, func(int, *http.Request) string { return ok })
		dial := func(ctx context.Context, n, a string) (net.Conn, error) {
			time.Sleep(3 * time.Millisecond)
			return pipe.DialContext(ctx, n, a)
		}
		l := link.New(link.Config{Address: "10.0.0.1:80", Dial: dial})
		for range 20 {
			_, err := roundTrip(l, link.Request{Method: http.MethodGet, Path: "/", NewConnection: true})
			g.Expect(err).NotTo(gomega.HaveOccurred())
		}
		g.Expect(l.State().Latency).To(gomega.Equal(3 * time.Millisecond))
		g.Expect(l.State().Deviation).To(gomega.BeNumerically("<", time.Millisecond))
		_ = pipe.Close()
	})
}

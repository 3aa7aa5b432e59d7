package remote_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"snipetally.example/coordination/table"
	"snipetally.example/coordination/table/remote"
)

func TestRemote(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "remote table")
}

// transaction is the transaction that the tests commit.
var transaction = table.Transaction{
	Checks: []table.Check{{Key: "a", Version: 3}},
	Writes: []table.Write{{Key: "a", Value: []byte{0, 255}}, {Key: "b", Remove: true}},
}

// serve starts a server and returns a table for it and the number of
// connections that it has accepted.
func serve(handler http.HandlerFunc) (*remote.Table, *atomic.Int32) {
	var connections atomic.Int32
	server := httptest.NewUnstartedServer(handler)
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	tab := remote.New(remote.Config{URL: server.URL, MaxResponseBytes: 4096})
	ginkgo.DeferCleanup(func() {
		tab.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return tab, &connections
}

// closeConnection closes the connection of a request without a response.
func closeConnection(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

var _ = ginkgo.Describe("Table", func() {
	ginkgo.DescribeTable("maps the status code of a commit to an error", func(code int, want error) {
		var requests atomic.Int32
		tab, _ := serve(func(w http.ResponseWriter, _ *http.Request) {
			requests.Add(1)
			w.Header().Set("Location", "/commit")
			w.WriteHeader(code)
		})
		err := tab.Commit(context.Background(), transaction)
		if want == nil {
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		} else {
			gomega.Expect(err).To(gomega.MatchError(want))
		}
		gomega.Expect(requests.Load()).To(gomega.BeEquivalentTo(1))
	},
		ginkgo.Entry("ok", http.StatusOK, nil),
		ginkgo.Entry("conflict", http.StatusConflict, table.ErrConflict),
		ginkgo.Entry("unavailable", http.StatusServiceUnavailable, table.ErrUnavailable),
		ginkgo.Entry("internal error", http.StatusInternalServerError, table.ErrUncertain),
		ginkgo.Entry("bad gateway", http.StatusBadGateway, table.ErrUncertain),
		ginkgo.Entry("redirect", http.StatusTemporaryRedirect, table.ErrUncertain),
	)

	ginkgo.It("returns ErrUnavailable for a commit without a connection", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		address := listener.Addr().String()
		gomega.Expect(listener.Close()).To(gomega.Succeed())
		tab := remote.New(remote.Config{URL: "http://" + address})
		gomega.Expect(tab.Commit(context.Background(), transaction)).To(gomega.MatchError(table.ErrUnavailable))
	})

	ginkgo.It("does not resend a commit when a reused connection breaks", func() {
		var commits, reads atomic.Int32
		tab, connections := serve(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/commit" {
				commits.Add(1)
				closeConnection(w)
				return
			}
			reads.Add(1)
			_, _ = w.Write([]byte(`{"rows":[]}`))
		})
		_, err := tab.Read(context.Background())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(tab.Commit(context.Background(), transaction)).To(gomega.MatchError(table.ErrUncertain))
		gomega.Expect(commits.Load()).To(gomega.BeEquivalentTo(1))
		_, err = tab.Read(context.Background())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(connections.Load()).To(gomega.BeEquivalentTo(2))
	})

	ginkgo.It("opens a new connection after a call without a response", func() {
		arrived := make(chan struct{})
		var calls atomic.Int32
		tab, connections := serve(func(w http.ResponseWriter, r *http.Request) {
			if calls.Add(1) == 2 {
				// The server detects a closed connection only once the body is read.
				_, _ = io.Copy(io.Discard, r.Body)
				close(arrived)
				<-r.Context().Done()
				return
			}
			_, _ = w.Write([]byte(`{"rows":[]}`))
		})
		_, err := tab.Read(context.Background())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-arrived
			cancel()
		}()
		gomega.Expect(tab.Commit(ctx, transaction)).To(gomega.MatchError(table.ErrUncertain))
		_, err = tab.Read(context.Background())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(connections.Load()).To(gomega.BeEquivalentTo(2))
	})

	ginkgo.It("rejects a response that is too long", func() {
		tab, _ := serve(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"rows":[` + strings.Repeat(" ", 8192) + `]}`))
		})
		_, err := tab.List(context.Background(), table.Range{Prefix: "a"})
		gomega.Expect(err).To(gomega.MatchError(remote.ErrMalformedResponse))
	})

	ginkgo.It("encodes requests and decodes responses of the protocol", func() {
		var got []byte
		tab, _ := serve(func(w http.ResponseWriter, r *http.Request) {
			got, _ = io.ReadAll(r.Body)
			_, _ = w.Write([]byte(`{"rows":[{"key":"a","value":"AP8=","version":7}]}`))
		})
		rows, err := tab.Read(context.Background(), "a")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(rows).To(gomega.Equal([]table.Row{{Key: "a", Value: []byte{0, 255}, Version: 7}}))
		gomega.Expect(tab.Commit(context.Background(), transaction)).To(gomega.Succeed())
		gomega.Expect(got).To(gomega.MatchJSON(`{"checks":[{"key":"a","version":3}],
			"writes":[{"key":"a","value":"AP8=","remove":false},{"key":"b","value":null,"remove":true}]}`))
	})
})

package relay_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"snipetally.example/coordination/feed"
	"snipetally.example/router/relay"
)

// memoryBytes is the memory of the VM; request bodies may take a quarter of it.
const memoryBytes = 64 << 20

// maxRevocationDelay is so long that the plan doesn't become stale on a slow
// machine.
const maxRevocationDelay = 10 * time.Minute

// healthPath is the path of health checks in plans that name none.
const healthPath = "/"

// gracePeriod bounds the stop of a node.
const gracePeriod = 3 * time.Second

// backend is a test backend server.
type backend struct {
	id      string
	server  *httptest.Server
	arrived atomic.Int32
}

// testNode is a running node with its plan and server tables. clockOffset is
// added to the node's clock, in nanoseconds.
type testNode struct {
	callerAddress    string
	readinessAddress string
	operatorAddress  string
	plans            *fakeTable[relay.Plan]
	servers          *fakeTable[relay.Server]
	clockOffset      atomic.Int64
	log              logBuffer

	// ended is closed when the node has ended.
	ended chan struct{}
}

// logBuffer collects a node's log.
type logBuffer struct {
	// mu guards text.
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(data)
}

// logged returns a condition that holds once the node has logged a message n
// times.
func (r *testNode) logged(message string, n int) func() bool {
	return func() bool {
		r.log.mu.Lock()
		defer r.log.mu.Unlock()
		return strings.Count(r.log.text.String(), fmt.Sprintf("%q", message)) >= n
	}
}

// lines returns the lines that the node has logged with a message, for the description of a failure.
func (r *testNode) lines(message string) string {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	var found []string
	for line := range strings.Lines(r.log.text.String()) {
		if strings.Contains(line, fmt.Sprintf("%q", message)) {
			found = append(found, line)
		}
	}
	return strings.Join(found, "")
}

// loopbackHost returns a random loopback address that no other test is likely
// to use. On a shared one, another test process may take a free port before a
// node binds it.
func loopbackHost() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
}

// freeAddresses returns n free addresses of a host. All ports are bound before
// any is released, so that they differ.
func freeAddresses(t *testing.T, host string, n int) []string {
	t.Helper()
	var free []string
	for range n {
		var listen net.ListenConfig
		listener, err := listen.Listen(t.Context(), "tcp4", host+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		free = append(free, listener.Addr().String())
	}
	return free
}

// newClass returns a class of the service that all backends of a testNode
// belong to.
func newClass(name string, kind relay.Kind, attempts int) relay.Class {
	return relay.Class{
		Name: name, Host: "h.example", Prefix: "/" + name + "/", Kind: kind, Timeout: time.Minute,
		TargetLatency: time.Minute, TargetGap: time.Minute, MaxAttempts: attempts,
		Splits: []relay.Split{{Service: "s", Weight: 1}},
	}
}

// startNode runs a node with a plan and a backend for each handler. It waits
// until the node is ready, unless the plan or the backends are missing.
func startNode(t *testing.T, plan relay.Plan, handlers ...http.HandlerFunc) (*testNode, []*backend) {
	t.Helper()
	return startConfiguredNode(t, func(*relay.Config) {}, plan, handlers...)
}

// startConfiguredNode is startNode with a configuration that a function changes.
func startConfiguredNode(t *testing.T, configure func(*relay.Config), plan relay.Plan, handlers ...http.HandlerFunc) (*testNode, []*backend) {
	t.Helper()
	free := freeAddresses(t, loopbackHost(), 5)
	r := &testNode{callerAddress: free[0], readinessAddress: free[1], operatorAddress: free[2], ended: make(chan struct{})}
	clock := func() time.Duration { return relay.SinceBoot() + time.Duration(r.clockOffset.Load()) }
	r.plans = &fakeTable[relay.Plan]{clock: clock}
	r.servers = &fakeTable[relay.Server]{clock: clock}
	if plan.Version > 0 {
		r.plans.set(feed.Change[relay.Plan]{Key: "plan", Value: plan})
	}
	var backends []*backend
	var rows []feed.Change[relay.Server]
	for i, handler := range handlers {
		b := &backend{id: fmt.Sprint("server-", i)}
		b.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			if req.URL.Path == healthPath {
				return // A health check is no request.
			}
			b.arrived.Add(1)
			w.Header().Set(attemptHeader, req.Header.Get(attemptHeader))
			handler(w, req)
		}))
		t.Cleanup(b.server.Close)
		backends = append(backends, b)
		rows = append(rows, feed.Change[relay.Server]{Key: b.id, Value: relay.Server{
			ID: b.id, Service: "s", Address: b.server.Listener.Addr().String(), Slots: 4,
		}})
	}
	r.servers.set(rows...)
	config := relay.Config{
		VM: "vm", Zone: "zone", CallerAddress: r.callerAddress, ReadinessAddress: r.readinessAddress, ReadinessPath: "/ready", OperatorAddress: r.operatorAddress,
		PeerAddress: netip.MustParseAddrPort(free[3]), DirectoryAddress: netip.MustParseAddrPort(free[4]), Codec: codec{}, Plans: r.plans, Servers: r.servers, Clock: clock, Log: &r.log,
		MemoryBytes: memoryBytes,
		Bounds: relay.Bounds{
			MaxRevocationDelay: maxRevocationDelay, DrainTimeout: 50 * time.Millisecond, GracePeriod: gracePeriod, RetryRatio: 20, RetryWindow: 10 * time.Second,
		},
	}
	configure(&config)
	node := relay.NewNode(config)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(r.ended)
		_ = node.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-r.ended
	})
	if plan.Version > 0 && len(handlers) > 0 {
		r.waitUntil(t, func() bool { return r.isReady(t) })
	}
	return r, backends
}

// waitUntil polls until the condition holds or the test's deadline is reached.
func (r *testNode) waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for !condition() {
		if t.Context().Err() != nil {
			t.Fatal("test ended")
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (r *testNode) isReady(t *testing.T) bool {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+r.readinessAddress+"/ready", nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// reply is the response that a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends a request without a body.
func (r *testNode) call(t *testing.T, method, path, key string) reply {
	t.Helper()
	return r.callWithBody(t, method, path, key, nil)
}

// callWithBody sends a request with a body.
func (r *testNode) callWithBody(t *testing.T, method, path, key string, body io.Reader) reply {
	t.Helper()
	return r.callWith(t, method, path, key, body, nil)
}

// callWith sends a request with further headers.
func (r *testNode) callWith(t *testing.T, method, path, key string, body io.Reader, header http.Header) reply {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+r.callerAddress+path, body)
	if err != nil {
		t.Fatal(err)
	}
	if header != nil {
		request.Header = header
	}
	request.Host = "h.example"
	request.Header.Set(attemptHeader, "attempt-1")
	request.Header.Set(timeoutHeader, "60000")
	request.Header.Set(keyHeader, key)
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(text), err: err}
}

// respond answers with a signed response.
func respond(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(signedHeader, "yes")
		_, _ = io.WriteString(w, body)
	}
}

// closeConnection closes the connection without a response.
func closeConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// streamEvents answers with a stream of numbered events, starting after the
// caller's last event if it has one. Unless complete is set, the stream is cut
// off in the middle of an event after the last one.
func streamEvents(first, last int, complete bool) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set(signedHeader, "yes")
		w.Header().Set("Content-Type", "text/event-stream")
		from := first
		if after, err := strconv.Atoi(req.Header.Get(lastEventHeader)); err == nil {
			from = after + 1
		}
		for i := from; i <= last; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
		}
		if !complete {
			_, _ = io.WriteString(w, "id: 99\nda")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

// operatorGet reads a path at the operator address.
func (r *testNode) operatorGet(t *testing.T, path string) []byte {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+r.operatorAddress+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// stateDump reads the state dump.
func (r *testNode) stateDump(t *testing.T) map[string]any {
	t.Helper()
	var state map[string]any
	if err := json.Unmarshal(r.operatorGet(t, "/state"), &state); err != nil {
		t.Fatal(err)
	}
	return state
}

// metrics reads the metrics.
func (r *testNode) metrics(t *testing.T) string {
	t.Helper()
	return string(r.operatorGet(t, "/metrics"))
}

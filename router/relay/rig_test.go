package relay_test

import (
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
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"

	"snipetally.example/coordination/feed"
	"snipetally.example/router/relay"
)

// The headers of the test's own codec.
const (
	attemptHeader  = "Attempt"
	patienceHeader = "Patience"
	keyHeader      = "Key"
	lifetimeHeader = "Lifetime"
	teamHeader     = "Team"
	signedHeader   = "Signed"
	unrunHeader    = "Unrun"
	afterHeader    = "Last-Event-Id"
	copyHeader     = "Copy"
)

// memory is that of the VM; a quarter of it is room for bodies.
const memory = 64 << 20

// revocation is so long that a slow machine never comes near it.
const revocation = 10 * time.Minute

// codec maps the headers above.
type codec struct{}

func (codec) ParseRequest(h http.Header) (relay.RequestInfo, error) {
	ms, err := strconv.Atoi(h.Get(patienceHeader))
	if err != nil {
		return relay.RequestInfo{}, fmt.Errorf("parse patience: %w", err)
	}
	return relay.RequestInfo{
		AttemptID: h.Get(attemptHeader), APIKey: h.Get(keyHeader), Timeout: time.Duration(ms) * time.Millisecond,
	}, nil
}

func (codec) ForwardHeader(h http.Header, d relay.ForwardInfo) http.Header {
	h = h.Clone()
	h.Del(keyHeader)
	h.Set(lifetimeHeader, d.InstanceID)
	h.Set(teamHeader, d.Team)
	h.Set(patienceHeader, strconv.Itoa(int(d.Timeout.Milliseconds())))
	if d.LastEventID != "" {
		h.Set(afterHeader, d.LastEventID)
	}
	if d.KVCopy.Handle != "" {
		h.Set(copyHeader, d.KVCopy.Source+"/"+d.KVCopy.Handle)
	}
	return h
}

func (codec) ParseResponse(status int, h http.Header) relay.ResponseInfo {
	return relay.ResponseInfo{
		AttemptID: h.Get(attemptHeader), Signed: h.Get(signedHeader) != "",
		NotExecuted: h.Get(unrunHeader) != "" || status == http.StatusMisdirectedRequest,
	}
}

// mover is a stand-in of the interface through which engines move runs.
type mover func(relay.MigrationRequest) (relay.KVCopy, error)

func (m mover) Migrate(_ context.Context, move relay.MigrationRequest) (relay.KVCopy, error) {
	return m(move)
}

// fixed is a table that holds the same rows until set anew, and can go away.
type fixed[T any] struct {
	mu    sync.Mutex
	rows  []feed.Change[T]
	rev   int64
	away  bool
	clock feed.Clock
}

const errAway = errors.ConstError("table away")

func (f *fixed[T]) set(rows ...feed.Change[T]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rows = rows
	f.rev++
}

func (f *fixed[T]) setAway(away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away = away
}

func (f *fixed[T]) Read(context.Context) (feed.Response[T], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.away {
		return feed.Response[T]{}, errAway
	}
	return feed.Response[T]{Changes: f.rows, Revision: f.rev, Clock: f.clock()}, nil
}

func (f *fixed[T]) Watch(ctx context.Context, after int64, _ time.Duration) (feed.Response[T], error) {
	pause := time.NewTimer(5 * time.Millisecond)
	defer pause.Stop()
	select {
	case <-ctx.Done():
		return feed.Response[T]{}, ctx.Err()
	case <-pause.C:
	}
	reading, err := f.Read(ctx)
	if err == nil && reading.Revision == after {
		reading.Changes = nil
	}
	return reading, err
}

// backend is a stand-in of a backend server.
type backend struct {
	id      string
	server  *httptest.Server
	arrived atomic.Int32
}

// rig is a node before backend servers.
type rig struct {
	callers string
	ready   string
	state   string
	plans   *fixed[relay.Plan]
	servers *fixed[relay.Server]
	ahead   atomic.Int64
}

// loopback returns an address of the loopback network that no other test is
// likely to use. On a shared one, another test process may take a free port
// before a node binds it.
func loopback() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
}

// addresses returns free addresses of a host. All are taken before one is let
// go, so that they differ.
func addresses(t *testing.T, host string, n int) []string {
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

// class returns a class of the service that all backends of a rig belong to.
func class(name string, kind relay.Kind, attempts int) relay.Class {
	return relay.Class{
		Name: name, Host: "h.example", Prefix: "/" + name + "/", Kind: kind, Timeout: time.Minute,
		TargetLatency: time.Minute, TargetGap: time.Minute, MaxAttempts: attempts,
		Splits: []relay.Split{{Service: "s", Weight: 1}},
	}
}

// start runs a node with a plan and a backend for each handler.
func start(t *testing.T, plan relay.Plan, handlers ...http.HandlerFunc) (*rig, []*backend) {
	t.Helper()
	return startWith(t, nil, plan, handlers...)
}

// startWith is start with a mover.
func startWith(t *testing.T, m relay.Migrator, plan relay.Plan, handlers ...http.HandlerFunc) (*rig, []*backend) {
	t.Helper()
	free := addresses(t, loopback(), 3)
	r := &rig{callers: free[0], ready: free[1], state: free[2]}
	clock := func() time.Duration { return relay.SinceBoot() + time.Duration(r.ahead.Load()) }
	r.plans = &fixed[relay.Plan]{clock: clock}
	r.servers = &fixed[relay.Server]{clock: clock}
	if plan.Version > 0 {
		r.plans.set(feed.Change[relay.Plan]{Key: "plan", Value: plan})
	}
	var backends []*backend
	var rows []feed.Change[relay.Server]
	for i, handler := range handlers {
		b := &backend{id: fmt.Sprint("server-", i)}
		b.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			b.arrived.Add(1)
			w.Header().Set(attemptHeader, q.Header.Get(attemptHeader))
			handler(w, q)
		}))
		t.Cleanup(b.server.Close)
		backends = append(backends, b)
		rows = append(rows, feed.Change[relay.Server]{Key: b.id, Value: relay.Server{
			ID: b.id, Service: "s", Address: b.server.Listener.Addr().String(), Slots: 4,
		}})
	}
	r.servers.set(rows...)
	node := relay.NewNode(relay.Config{
		VM: "vm", Zone: "zone", CallerAddress: r.callers, ReadinessAddress: r.ready, ReadinessPath: "/ready", OperatorAddress: r.state,
		PeerAddress: netip.AddrPort{}, Codec: codec{}, Migrator: m, Plans: r.plans, Servers: r.servers, Clock: clock, Log: io.Discard,
		MemoryBytes: memory,
		Bounds: relay.Bounds{
			MaxRevocationDelay: revocation, DrainTimeout: 50 * time.Millisecond, GracePeriod: time.Second, RetryRatio: 10, RetryWindow: 10 * time.Second,
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = node.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	if plan.Version > 0 && len(handlers) > 0 {
		r.await(t, func() bool { return r.isReady(t) })
	}
	return r, backends
}

// await polls until the condition holds. The test's own deadline is the bound.
func (r *rig) await(t *testing.T, condition func() bool) {
	t.Helper()
	for !condition() {
		if t.Context().Err() != nil {
			t.Fatal("test ended")
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (r *rig) isReady(t *testing.T) bool {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+r.ready+"/ready", nil)
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

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends a request of a class.
func (r *rig) call(t *testing.T, method, path, key string) reply {
	t.Helper()
	return r.callWith(t, method, path, key, nil)
}

// callWith sends a request with a body.
func (r *rig) callWith(t *testing.T, method, path, key string, body io.Reader) reply {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+r.callers+path, body)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h.example"
	request.Header.Set(attemptHeader, "attempt-1")
	request.Header.Set(patienceHeader, "60000")
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

// serve answers with a body.
func serve(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(signedHeader, "yes")
		_, _ = io.WriteString(w, body)
	}
}

// reset closes the connection without an answer.
func reset(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// events answers with a stream of numbered events, from the one after the
// caller's last, and breaks off after some if it is told to.
func events(first, last int, whole bool) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set(signedHeader, "yes")
		w.Header().Set("Content-Type", "text/event-stream")
		from := first
		if after, err := strconv.Atoi(q.Header.Get(afterHeader)); err == nil {
			from = after + 1
		}
		for i := from; i <= last; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
		}
		if !whole {
			_, _ = io.WriteString(w, "id: 99\nda")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

// ask reads what operators are served at a path.
func (r *rig) ask(t *testing.T, path string) []byte {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+r.state+path, nil)
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

// dump reads the state dump.
func (r *rig) dump(t *testing.T) map[string]any {
	t.Helper()
	var state map[string]any
	if err := json.Unmarshal(r.ask(t, "/state"), &state); err != nil {
		t.Fatal(err)
	}
	return state
}

// metrics reads the meters.
func (r *rig) metrics(t *testing.T) string {
	t.Helper()
	return string(r.ask(t, "/metrics"))
}

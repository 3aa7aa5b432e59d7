package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// arrival is a request that a runner got.
type arrival struct {
	at     time.Time
	runner string
	id     string
	path   string
	ran    bool
	router string
}

// runner is a stand-in for a runner. It writes its entry in the store at each heartbeat.
type runner struct {
	id, service string
	slots       int
	listener    net.Listener
	store       *store
	born        int64

	// behave answers a request on a connection and reports whether that is kept. It is run after
	// the instance has been checked and the body read.
	behave func(r *runner, c net.Conn, request *http.Request, body []byte) (keep bool)

	mu       sync.Mutex
	state    string
	sequence int64
	arrivals []arrival
	running  int
}

// heartbeat is the interval of the runners' entries.
const heartbeat = 1200 * time.Millisecond

// startRunner starts a runner at an address and registers it.
func startRunner(s *store, id, service, address string, slots int, behave func(*runner, net.Conn, *http.Request, []byte) bool) *runner {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		cannotRun("runner %s: %v", id, err)
	}
	r := &runner{
		id: id, service: service, slots: slots, listener: listener, store: s, behave: behave, state: "ready",
		born: time.Now().UnixMilli(),
	}
	r.register()
	go func() {
		for range time.Tick(heartbeat) {
			r.register()
		}
	}()
	go r.serve()
	return r
}

// register writes the runner's entry.
func (r *runner) register() {
	r.mu.Lock()
	state, sequence := r.state, r.sequence
	r.sequence++
	r.mu.Unlock()
	if state == "gone" {
		return
	}
	r.store.put("servers", r.id, map[string]any{
		"service": r.service, "address": r.listener.Addr().String(), "zone": "z", "version": "v1", "slots": r.slots,
		"state": state, "cold-remaining-ms": 0, "sequence": sequence, "born": r.born,
	})
}

// serve accepts connections.
func (r *runner) serve() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serveConn(c)
	}
}

// serveConn serves one request after the other on a connection.
func (r *runner) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if request.URL.Path == "/health" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.id)
			continue
		}
		if wanted := request.Header.Get("X-Expect-Instance"); wanted != "" && wanted != r.id {
			r.record(c, request, false)
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", request.Header.Get("X-Attempt-Id"), r.id)
			continue
		}
		if !r.behave(r, c, request, body) {
			return
		}
	}
}

// record records a request, and whether it ran.
func (r *runner) record(c net.Conn, request *http.Request, ran bool) {
	router, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, arrival{
		at: time.Now(), runner: r.id, id: request.Header.Get("X-Attempt-Id"), path: request.URL.Path, ran: ran, router: router,
	})
}

// all returns what the runner got.
func (r *runner) all() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

// respond writes a response with a length.
func respond(c net.Conn, request *http.Request, status int, header, body string) {
	signature := "X-Response-Signature: sig-" + request.Header.Get("X-Attempt-Id") + "\r\n"
	if strings.Contains(header, "X-Not-Executed") {
		signature = ""
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\n%s%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), request.Header.Get("X-Attempt-Id"), signature, header, len(body), body)
}

// sound runs a request for a time and answers it.
func sound(work time.Duration) func(*runner, net.Conn, *http.Request, []byte) bool {
	return func(r *runner, c net.Conn, request *http.Request, _ []byte) bool {
		r.record(c, request, true)
		time.Sleep(work)
		respond(c, request, http.StatusOK, "", "done "+request.Header.Get("X-Attempt-Id"))
		return true
	}
}

package peer_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const errRefused = errors.ConstError("connection refused")

// host is a VM in the network that runs a router.
type host struct {
	name, address, zone, region string
	network                     *network

	// sent and received count bytes of HTTP messages with headers, and calls
	// counts requests.
	sent, received, calls atomic.Int64

	// mu guards the fields below.
	mu      sync.Mutex
	handler http.Handler
	down    bool

	// paused is nil unless the host is paused, and closed on resume.
	paused chan struct{}

	// delay is added to the delivery of each request and of its response.
	delay time.Duration
}

// waitWhilePaused waits until the host is not paused.
func (h *host) waitWhilePaused() {
	for {
		h.mu.Lock()
		paused := h.paused
		h.mu.Unlock()
		if paused == nil {
			return
		}
		<-paused
	}
}

// pause suspends the host until resume.
func (h *host) pause() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.paused == nil {
		h.paused = make(chan struct{})
	}
}

// resume resumes a paused host.
func (h *host) resume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.paused != nil {
		close(h.paused)
		h.paused = nil
	}
}

// network is an in-memory network that carries HTTP messages with headers and
// bodies between hosts. It can lose, duplicate and delay messages.
type network struct {
	// mu guards the fields below.
	mu          sync.Mutex
	hosts       map[string]*host
	loss        float64
	duplicate   float64
	jitter      time.Duration
	partitioned func(from, to *host) bool

	deliveries sync.WaitGroup
}

func newNetwork() *network {
	return &network{hosts: make(map[string]*host)}
}

// setFaults sets the probabilities of loss and duplication and the maximum
// jitter.
func (n *network) setFaults(loss, duplicate float64, jitter time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss, n.duplicate, n.jitter = loss, duplicate, jitter
}

// setPartition sets which pairs of hosts cannot reach each other. Nil ends the
// partition.
func (n *network) setPartition(partitioned func(from, to *host) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = partitioned
}

// transmit draws the delay of a message. It returns false if the message is
// lost.
func (n *network) transmit(from, to *host) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.partitioned != nil && n.partitioned(from, to) || rand.Float64() < n.loss {
		return 0, false
	}
	delay := 200 * time.Microsecond
	switch {
	case from.region != to.region:
		delay = 40 * time.Millisecond
	case from.zone != to.zone:
		delay = time.Millisecond
	}
	if n.jitter > 0 {
		delay += rand.N(n.jitter)
	}
	return delay, true
}

// RoundTrip implements http.RoundTripper for requests of the host.
func (h *host) RoundTrip(r *http.Request) (*http.Response, error) {
	h.waitWhilePaused()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	h.network.mu.Lock()
	to := h.network.hosts[r.URL.Host]
	duplicate := rand.Float64() < h.network.duplicate
	h.network.mu.Unlock()
	h.calls.Add(1)
	h.sent.Add(requestSize(r, body))
	result := make(chan *http.Response, 2)
	h.deliver(r, to, body, result)
	if duplicate {
		h.deliver(r, to, body, result)
	}
	select {
	case response := <-result:
		h.waitWhilePaused()
		if response == nil {
			return nil, errRefused
		}
		return response, nil
	case <-r.Context().Done():
		h.waitWhilePaused()
		return nil, r.Context().Err()
	}
}

// deliver carries a request to a host and its response back, in a goroutine of
// its own. The result is nil if there is no such host, and missing if a message
// is lost.
func (h *host) deliver(r *http.Request, to *host, body []byte, result chan<- *http.Response) {
	if to == nil {
		result <- nil
		return
	}
	outbound, ok := h.network.transmit(h, to)
	if !ok {
		return
	}
	request := r.Clone(context.WithoutCancel(r.Context()))
	request.Body = io.NopCloser(bytes.NewReader(body))
	size := requestSize(r, body)
	h.network.deliveries.Go(func() {
		time.Sleep(outbound)
		to.mu.Lock()
		handler, down, hostDelay := to.handler, to.down, to.delay
		to.mu.Unlock()
		if down {
			return
		}
		time.Sleep(hostDelay)
		to.waitWhilePaused()
		recorder := httptest.NewRecorder()
		to.received.Add(size)
		handler.ServeHTTP(recorder, request)
		to.waitWhilePaused()
		response := recorder.Result()
		responseBytes := responseSize(response, recorder.Body.Len())
		to.sent.Add(responseBytes)
		inbound, ok := h.network.transmit(to, h)
		if !ok {
			return
		}
		time.Sleep(hostDelay + inbound)
		h.received.Add(responseBytes)
		result <- response
	})
}

// requestSize returns the size of a request in HTTP/1.1 in bytes.
func requestSize(r *http.Request, body []byte) int64 {
	size := len("POST  HTTP/1.1\r\n\r\n") + len(r.URL.Path)
	size += len("Host: \r\nUser-Agent: Go-http-client/1.1\r\nContent-Length: 000\r\n") + len(r.URL.Host)
	size += headerSize(r.Header)
	return int64(size + len(body))
}

// responseSize returns the size of a response in HTTP/1.1 in bytes.
func responseSize(r *http.Response, body int) int64 {
	size := len("HTTP/1.1 200 OK\r\n\r\nDate: Mon, 02 Jan 2006 15:04:05 GMT\r\n")
	return int64(size + headerSize(r.Header) + body)
}

// headerSize returns the size of the header lines in bytes.
func headerSize(header http.Header) int {
	size := 0
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

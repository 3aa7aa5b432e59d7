package relay

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/handover"
	"snipetally.example/router/internal/inbound"
)

const (
	// maxHandedOver is the number of requests of other routers that a router runs at the same
	// time. Further ones are declined, as all are while it is short of processor time, so that its
	// own callers are served.
	maxHandedOver = 256

	// handoverOverhead bounds the size of a handed over request apart from its body, in bytes.
	handoverOverhead = 2 * maxHeaderBytes

	// errNoHandover means that a request is not taken over.
	errNoHandover = errors.ConstError("not taken over")

	// errOlderPlan means that a request was admitted by a newer plan than this router has, which
	// may have stood still meanwhile.
	errOlderPlan = errors.ConstError("plan older than that of the request")
)

// serveHandover runs the request of another router. Only routers that this one hears may ask.
func (n *Node) serveHandover(w http.ResponseWriter, r *http.Request) {
	peer, ok := n.livePeer(r.RemoteAddr)
	if !ok {
		n.log.RepeatedFailure(time.Now(), "handover", errNoHandover).Str("from", r.RemoteAddr).Msg("hand-over by an unknown sender")
		n.relay.declineHandover(w, http.StatusForbidden)
		return
	}
	n.relay.serveHandover(w, r, peer)
}

// livePeer returns the address of the router that a connection comes from, and false if it is
// none that is alive.
func (n *Node) livePeer(remote string) (netip.Addr, bool) {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return netip.Addr{}, false
	}
	address, err := netip.ParseAddr(host)
	if err != nil {
		return netip.Addr{}, false
	}
	known := slices.ContainsFunc(n.broadcaster.Live(time.Now()), func(p netip.AddrPort) bool { return p.Addr() == address.Unmap() })
	return address.Unmap(), known
}

// takesHandovers reports whether requests of other routers can be run here now.
func (r *relay) takesHandovers() bool {
	return !r.stopping() && !r.planOutdated() && !r.outOfReach() && !r.uplink.Behind(time.Now())
}

// serveHandover takes over the request of another router, or declines it.
func (r *relay) serveHandover(w http.ResponseWriter, call *http.Request, peer netip.Addr) {
	r.inflight.Add(1)
	defer r.inflight.Add(-1)
	if r.handedOver.Add(1) > maxHandedOver || !r.takesHandovers() {
		r.handedOver.Add(-1)
		r.declineHandover(w, http.StatusServiceUnavailable)
		return
	}
	defer r.handedOver.Add(-1)
	p := &proxiedRequest{relay: r, writer: w, conn: inbound.ConnOf(call.Context()), arrivedAt: time.Now(), peer: peer}
	defer p.releaseBuffers()
	request, err := r.readHandover(p, call)
	if err != nil {
		r.options.log.Request(time.Now(), err).Str("router", peer.String()).Msg("hand-over not taken")
		r.declineHandover(w, http.StatusServiceUnavailable)
		return
	}
	p.handedOver = &request
	p.request = newHandedOverRequest(call, request)
	r.metrics.handedOver.Inc(1)
	p.serve()
}

// declineHandover answers that the request was not taken.
func (r *relay) declineHandover(w http.ResponseWriter, status int) {
	if r.stopping() {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set(handover.OutcomeHeader, string(handover.Declined))
	w.WriteHeader(status)
}

// readHandover reads a request that another router hands over, within the memory for bodies. It
// returns an error if the request was admitted by a newer plan than this router's.
func (r *relay) readHandover(p *proxiedRequest, call *http.Request) (handover.Request, error) {
	limit := int64(handoverOverhead)
	if index := r.index.Load(); index != nil {
		limit += index.plan.Limits.MaxBodyBytes
	}
	if call.URL.Path != handover.Path || call.ContentLength < 0 {
		return handover.Request{}, errors.NotValidf("call of %s", call.URL.Path)
	}
	if limit > handoverOverhead && call.ContentLength > limit {
		return handover.Request{}, errBodyTooLong
	}
	data, err := p.readInbound(call.Body, call.ContentLength)
	if err != nil {
		return handover.Request{}, fmt.Errorf("read handed over request: %w", err)
	}
	if !p.conn.Reserve(inbound.Bodies, call.ContentLength) { // The decoded request is a copy.
		return handover.Request{}, errNoMemory
	}
	defer p.conn.Release(inbound.Bodies, call.ContentLength)
	request, err := handover.Decode(data)
	if err != nil {
		return handover.Request{}, err //nolint:wrapcheck // It says what it decodes.
	}
	if own := r.planInForce(); own < request.PlanVersion {
		return handover.Request{}, fmt.Errorf("version %d in place of %d: %w", own, request.PlanVersion, errOlderPlan)
	}
	return request, nil
}

// newHandedOverRequest returns the request as the caller sent it to the other router. It ends with
// the call of that router.
func newHandedOverRequest(call *http.Request, h handover.Request) *http.Request {
	path, query, _ := strings.Cut(h.Target, "?")
	request := call.WithContext(call.Context())
	request.Method, request.Host, request.Header, request.RequestURI = h.Method, h.Host, h.Header, h.Target
	request.URL = &url.URL{Path: path, RawQuery: query}
	if request.Header == nil {
		request.Header = make(http.Header)
	}
	return request
}

// applyHandover takes over what the other router knows of the request.
func (p *proxiedRequest) applyHandover() {
	h := p.handedOver
	p.executions, p.lastEventID = h.Executions, h.LastEventID
	if slices.ContainsFunc(p.class.Splits, func(s Split) bool { return s.Service == h.Service }) {
		p.service = h.Service
	}
}

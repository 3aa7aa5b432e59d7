package relay

import (
	"context"
	"encoding/binary"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/juju/errors"

	"snipetally.example/router/internal/quarantine"
)

const (
	// errQuarantined means that a request is kept from servers as it, or a part of its
	// prompt, crashed others.
	errQuarantined = errors.ConstError("quarantined")

	// maxModelName bounds the name of a model as part of a scope, in bytes.
	maxModelName = 64

	// quarantineRetryDelay is the least time after which a caller is asked to send a
	// request again that a verdict keeps out.
	quarantineRetryDelay = time.Minute

	// maxSyncTime is how long a router that could serve waits for the verdicts that
	// were made before its start.
	maxSyncTime = 3 * time.Second
)

// RowStore keeps rows that must outlast all routers. Its errors say nothing about
// whether a call took effect.
type RowStore interface {
	// Rows returns the values of all rows.
	Rows(ctx context.Context) ([][]byte, error)

	// Put writes a row and removes another one, unless remove is empty.
	Put(ctx context.Context, key string, value []byte, remove string) error

	// Remove removes a row.
	Remove(ctx context.Context, key string) error

	// Era returns a number that rises each time that the store comes back from an older
	// copy, as far as its responses have shown it. Rows may then be missing.
	Era() int64
}

// useQuarantine creates the exchange of crashes and verdicts.
func (n *Node) useQuarantine() {
	n.quarantine = quarantine.NewExchange(quarantine.Config{
		Address: n.config.QuarantineAddress,
		Members: func(now time.Time) []netip.AddrPort {
			return withPort(n.broadcaster.Live(now), n.config.QuarantineAddress.Port())
		},
		Seeds: func() []netip.AddrPort {
			return withPort(slices.Clone(n.peerSeeds()), n.config.QuarantineAddress.Port())
		},
		Name:      n.config.PeerAddress.Addr().String(),
		Store:     n.config.Quarantine,
		OnVerdict: n.logVerdict,
		OnCrash:   n.relay.handlePeerCrash,
		ReportError: func(err error) {
			n.log.RepeatedFailure(time.Now(), "quarantine", err).Msg("verdict not exchanged")
		},
	})
	n.relay.quarantine = n.quarantine
}

// logVerdict logs a verdict that is new or was lifted. The key digest holds the digest of
// its request, or parts the IDs of its parts, engines and requests the crashes and the different requests in them that it is
// based on, epoch its epoch, and decider the router that decided.
func (n *Node) logVerdict(v quarantine.Verdict) {
	message := "prompt part quarantined"
	if v.RequestName() != "" {
		message = "request quarantined"
	}
	if v.Lifted {
		message = "quarantine lifted"
	}
	n.log.StateChange().Str("digest", v.RequestName()).Strs("parts", v.PartNames()).Str("service", v.Scope.Service).Str("model", v.Scope.Model).
		Int("engines", v.Engines).Int("requests", v.Requests).Uint32("epoch", v.Epoch).Str("decider", v.DecidedBy).Msg(message)
}

// serveLift lifts the verdicts that name the request or part in the path, and answers with
// their number.
func (n *Node) serveLift(w http.ResponseWriter, r *http.Request) {
	named, err := quarantine.ParseName(mux.Vars(r)["name"])
	if err != nil {
		http.Error(w, "neither the digest of a request nor the ID of a part", http.StatusBadRequest)
		return
	}
	lifted := n.quarantine.Lift(named)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if _, err := w.Write([]byte(strconv.Itoa(len(lifted)) + " lifted\n")); err != nil {
		n.log.Failure(err).Msg("answer to operator not written")
	}
}

// quarantineSynced reports whether the router knows the verdicts that were made before
// its start, or has waited for them long enough.
func (r *relay) quarantineSynced() bool {
	if r.quarantine.Synced() {
		return true
	}
	since := time.Duration(r.canChooseSince.Load())
	return since > 0 && r.options.clock()-since > maxSyncTime
}

// prepareRun sets what the quarantine needs to know of the request.
func (p *proxiedRequest) prepareRun() {
	shared := p.sharedParts()
	parts := make([]uint64, 0, len(shared))
	for _, part := range shared {
		parts = append(parts, part.ID)
	}
	p.run = quarantine.Run{
		Scope:   quarantine.Scope{Service: p.service, Model: p.info.Model[:min(len(p.info.Model), maxModelName)]},
		Request: p.contentDigest(parts),
	}
	service, ok := p.index.servicesByName[p.service]
	if !ok || !service.IsEngine() || len(parts) == 0 {
		return
	}
	p.run.Session = p.info.Parts[len(p.info.Parts)-1].ID
	p.run.Parts = parts[:min(len(parts), quarantine.MaxParts)]
}

// contentDigest returns the digest of what makes two requests the same: method, host,
// target, team, model, shared parts of the prompt and body. The last part of the prompt
// may name a session, and other headers belong to a single attempt.
func (p *proxiedRequest) contentDigest(shared []uint64) quarantine.Digest {
	parts := make([]byte, 0, 8*len(shared)) // 8 bytes each.
	for _, part := range shared {
		parts = binary.BigEndian.AppendUint64(parts, part)
	}
	return quarantine.NewDigest([]byte(p.request.Method), []byte(p.request.Host), []byte(p.requestTarget),
		[]byte(p.teamName()), []byte(p.info.Model), parts, p.body)
}

// isQuarantined reports whether the request is kept from servers. sending says that it is
// sent otherwise. If it is kept, retryAfter is set to the time until it may be tried
// again.
func (p *proxiedRequest) isQuarantined(sending bool) bool {
	decision := p.relay.quarantine.Check(p.run, sending)
	switch {
	case decision.Held:
		p.retryAfter = time.Until(decision.Until)
	case decision.Refused:
		p.retryAfter = max(time.Until(decision.Until), quarantineRetryDelay)
	}
	return decision.Refused
}

// isSuspected reports whether a further attempt would probably crash another server.
func (p *proxiedRequest) isSuspected() bool { return p.relay.quarantine.Ledger().Suspected(p.run) }

// withPort returns addresses with another port. It changes the slice.
func withPort(addresses []netip.AddrPort, port uint16) []netip.AddrPort {
	for i, a := range addresses {
		addresses[i] = netip.AddrPortFrom(a.Addr(), port)
	}
	return addresses
}

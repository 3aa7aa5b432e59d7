package relay

import (
	"context"
	"net/http"
	"time"

	"snipetally.example/router/internal/hop"
	"snipetally.example/router/internal/placement"
)

// hopRequest builds the request for a server.
func (p *proxiedRequest) hopRequest(ctx context.Context, at *place, target *backendServer) hop.Request {
	header := p.relay.options.codec.ForwardHeader(endToEnd(p.request.Header), ForwardInfo{
		InstanceID:  target.ID,
		Timeout:     time.Until(p.deadline),
		Team:        p.teamName(),
		Rank:        p.rank,
		RankCount:   len(p.index.ranks),
		LastEventID: p.lastEventID,
		KVCopy:      p.kvCopy,
	})
	return hop.Request{
		Method:  p.request.Method,
		Target:  p.requestTarget,
		Host:    p.request.Host,
		Header:  header,
		Body:    p.body,
		HasBody: p.hasBody,
		BeforeWrite: func() error {
			if err := p.checkWrite(ctx, at, target); err != nil {
				return err
			}
			p.recordWrite(at, target)
			return nil
		},
		Matches: func(header http.Header, first bool) bool {
			info := p.relay.options.codec.ParseResponse(0, header)
			return info.AttemptID == p.info.AttemptID || first && info.AttemptID == "" && !info.Signed
		},
	}
}

// checkWrite returns an error if a request may not be sent to the server of a place any more. It may
// wait for a place or a permit there; what a wait can make untrue is looked at after it.
func (p *proxiedRequest) checkWrite(ctx context.Context, at *place, target *backendServer) error {
	if !p.mayWrite(at, target) {
		return errServerLeaving
	}
	if p.isQuarantined(true) {
		return errQuarantined
	}
	if !p.mayUse(ctx, at, target) {
		return placement.ErrLimited
	}
	if !p.mayWrite(at, target) {
		return errServerLeaving
	}
	if !p.mayBegin() {
		return errStopping
	}
	return nil
}

// recordWrite records that a request is sent to the server of a place now.
func (p *proxiedRequest) recordWrite(at *place, target *backendServer) {
	p.sendDelay, p.sentAt = time.Since(p.chosenAt), p.relay.options.clock()
	at.lease = p.relay.limits.Enter(target.usage.placeKey, at.lease)
	p.countLimited(target)
}

// mayWrite reports whether the server of a place accepts the request. One that leaves accepts a run that
// was stopped for a migration.
func (p *proxiedRequest) mayWrite(at *place, target *backendServer) bool {
	return p.relay.accepts(target) || at.kvCopy.Handle != "" && p.relay.takesStoppedRuns(target)
}

// teamName returns the name of the caller's team, or an empty string.
func (p *proxiedRequest) teamName() string {
	if p.team == nil {
		return ""
	}
	return p.team.Name
}

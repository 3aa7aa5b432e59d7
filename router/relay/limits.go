package relay

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/placement"
	"snipetally.example/router/internal/sharedrate"
)

const (
	// maxPermitQuestions is the number of servers for which a request asks for a permit
	// before it counts as one that finds none.
	maxPermitQuestions = 4

	// maxSkipped is the number of servers up to which those don't count whose home is known not to
	// answer.
	maxSkipped = 16

	// permitWaitFraction is the fraction of its target latency that a request which has
	// not run waits for a permit. After that its caller is asked to retry. One that may
	// have run waits for up to retryWait, as giving it up loses it.
	permitWaitFraction = 1.0 / 8

	// sessionLevel is the part of a request's level that depends on its session: requests
	// go before others to a server that has their session cached. The rest is their rank.
	sessionLevel = 0.5
)

// useLimits creates the exchange of the limits that servers name.
func (n *Node) useLimits() {
	n.limits = sharedrate.NewExchange(sharedrate.Config{
		Address: n.config.LimitAddress,
		Members: func(now time.Time) []netip.AddrPort {
			if !n.config.LimitAddress.IsValid() {
				return nil
			}
			return withPort(n.broadcaster.Live(now), n.config.LimitAddress.Port())
		},
		Seeds: func() []netip.AddrPort { return withPort(slices.Clone(n.peerSeeds()), n.config.LimitAddress.Port()) },
		Clock: n.config.Clock,
		// A router takes as long to find out that another one has ended, and that one as long
		// to find out that it is alone.
		SettleTime: func() time.Duration { return 2 * n.broadcaster.LiveTime() },
		OnChange:   n.relay.logHeardLimit,
		OnLeaving:  n.relay.hearLeaving,

		OnBrittleness: n.relay.hearBrittleness,
		ReportError: func(err error) {
			n.log.RepeatedFailure(time.Now(), "limits", err).Msg("server limit not exchanged")
		},
	})
	n.relay.limits = n.limits
}

// rankLevel returns the part of a request's level that its rank determines.
func rankLevel(rank, ranks int) float64 {
	return (1 - sessionLevel) * float64(rank) / float64(max(ranks-1, 1))
}

// limitLevel returns the level of a request at a server.
func (p *proxiedRequest) limitLevel(cached bool) sharedrate.Level {
	level := p.placementRequest.Level
	if len(p.placementRequest.Parts) > 1 && !cached {
		level += sessionLevel
	}
	return sharedrate.Level(level)
}

// pick reserves a place at a server that was not tried, with a permit if the server names a
// limit and a place if it is brittle. A server that denied the request is not asked again, and once several have, only
// those are left that need neither. It reads only fields of the request that don't change during an attempt. If the
// error is placement.ErrLimited, the choice has the time to wait.
func (p *proxiedRequest) pick(ctx context.Context, request placement.Request, tried []string) (*place, placement.Choice, error) {
	var denied []string
	wait := maxLimitDelay
	for questions := 0; ; {
		excluded := slices.Concat(tried, denied)
		if questions >= maxPermitQuestions {
			excluded = append(excluded, p.relay.serversInNeed(p.service)...)
		}
		reservation, choice, err := p.relay.balancer.Pick(time.Now(), request, excluded)
		switch {
		case err != nil && (len(denied) == 0 || errors.Is(err, placement.ErrBusy)):
			return nil, choice, err
		case errors.Is(err, placement.ErrLimited):
			wait = min(wait, choice.LimitWait)
		}
		if err != nil {
			return nil, placement.Choice{LimitWait: wait}, placement.ErrLimited
		}
		next := p.newPlace(reservation, choice)
		target, ok := p.target(next)
		if !ok {
			return next, choice, nil
		}
		denial, ok := p.acquire(ctx, next, target, 0)
		if ok {
			return next, choice, nil
		}
		if !denial.Unasked || len(denied) >= maxSkipped {
			questions++
		}
		denied = append(denied, target.ID)
		wait = min(wait, denial.Wait)
		reservation.Withdraw(time.Now())
	}
}

// serversInNeed returns the servers of a service that name a limit or need places.
func (r *relay) serversInNeed(service string) []string {
	var ids []string
	for id, s := range *r.servers.Load() {
		if s.Service == service && (r.limits.Limited(s.usage.key) || r.needsPlace(s)) {
			ids = append(ids, id)
		}
	}
	return ids
}

// acquire gets what a request needs to be sent to a server in need: a place if it is brittle, for which it may wait for a
// time, and a permit if it names a limit. If there is none, requests of that level are
// kept from the server for a while.
func (p *proxiedRequest) acquire(ctx context.Context, at *place, target *backendServer, patience time.Duration) (denial sharedrate.Denial, ok bool) {
	if p.relay.needsPlace(target) && !p.relay.limits.Holds(at.lease) {
		if denial, ok := p.acquirePlace(ctx, at, target, patience); !ok {
			return denial, false
		}
	}
	level := p.limitLevel(at.choice.Cached)
	permit, denial, ok := p.relay.limits.Acquire(ctx, target.usage.key, level)
	if ok {
		at.permit = permit
		return sharedrate.Denial{}, true
	}
	p.relay.releaseLease(at)
	p.recordDenial(target, denial)
	return denial, false
}

// recordDenial counts a denial and keeps requests of its level from the server for a while.
func (p *proxiedRequest) recordDenial(target *backendServer, denial sharedrate.Denial) {
	if denial.Unreachable {
		p.relay.metrics.unanswered.Inc(1)
	} else {
		p.relay.metrics.keptBack.Inc(1)
	}
	target.usage.limit.recordDenial()
	p.relay.balancer.Withhold(target.ID, time.Now().Add(denial.Wait), float64(denial.Level))
}

// mayUse reports whether the request may be written to a server now. A permit or a place may have run
// out since the server was chosen, or the server may have said only then that it needs one. A
// request that may have run, or whose KV cache was copied there, waits for it.
func (p *proxiedRequest) mayUse(ctx context.Context, at *place, target *backendServer) bool {
	limits := p.relay.limits
	if !p.awaitRest(ctx, at, target) {
		return false
	}
	if limits.Usable(target.usage.key, at.permit) && (!p.relay.needsPlace(target) || limits.Holds(at.lease)) {
		return true
	}
	waitEnd := time.Now()
	if p.executions > 0 || at.kvCopy.Handle != "" {
		waitEnd = waitEnd.Add(retryWait)
	}
	for {
		if _, ok := p.acquire(ctx, at, target, time.Until(waitEnd)); ok {
			return true
		}
		if ctx.Err() != nil || time.Now().Add(retryPollInterval).After(waitEnd) {
			return false
		}
		sleep(ctx, retryPollInterval)
	}
}

// awaitPermit waits for a place at a server whose limit is used up, as long as that is
// better for the caller than to come back. wait is the time until the first one may have
// a permit again.
func (p *proxiedRequest) awaitPermit(ctx context.Context, request placement.Request, wait time.Duration) (*place, placement.Choice, error) {
	limit := time.Duration(permitWaitFraction * float64(request.Target))
	tried := p.tried
	if request.Admitted {
		limit, tried = retryWait, nil
	}
	if p.relay.isBrittle(p.service) {
		return p.awaitPlace(ctx, request, tried, limit)
	}
	waitEnd := time.Now().Add(min(limit, time.Until(p.deadline)-minAttemptTime))
	for {
		if ctx.Err() != nil || time.Now().Add(wait).After(waitEnd) {
			return nil, placement.Choice{LimitWait: wait}, placement.ErrLimited
		}
		sleep(ctx, max(wait, time.Millisecond))
		next, choice, err := p.pick(ctx, request, tried)
		if !errors.Is(err, placement.ErrLimited) {
			return next, choice, err
		}
		wait = choice.LimitWait
	}
}

// Package limit enforces the limits of teams over all routers together. Each
// router enforces a share of a team's limit, in proportion to its share of the
// team's demand. For each team, the router with the highest rendezvous hash is
// the aggregator: it adds up the demand that routers report and sends them the
// total. Nothing is written to the table service. The package does no I/O, is
// not safe for concurrent use, and imports only package contract.
package limit

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipetally.example/router/internal/contract"
)

const (
	// ReportInterval is the interval at which a router reports to the aggregators.
	ReportInterval = time.Second

	// Burst is the time in which a bucket fills: a team may use its rate for
	// this time at once.
	Burst = time.Second

	// EvenShare is the part of a limit that is spread evenly over the routers,
	// so that a router without demand so far has some. The excess over the limit
	// is bounded: routers that agree on the total admit no more than the limit,
	// and a router whose totals are one period old exceeds its share for at most
	// that period.
	EvenShare = 0.1

	// demandDecay is the factor by which a team's remembered demand falls in
	// each period without a higher one.
	demandDecay = 0.5

	// minReportedRate is the demand in requests per second below which a team
	// is no longer reported, if it has no running requests and no token debt.
	minReportedRate = 0.2

	// headerBytes is the size of a datagram less the name of its sender: 28
	// bytes for UDP and IP, 16 for the MAC, and 14 for the time and tags.
	// Each team takes teamBytes and its name.
	headerBytes = 58
	teamBytes   = 21

	// StalePeriods is the number of periods after which a report or a total is
	// ignored.
	StalePeriods = 4
)

// Demand is a team's demand: requests and tokens per second, and the number of
// requests that are running or were refused because too many were.
type Demand struct {
	Requests float64
	Tokens   float64
	Running  float64
}

// TeamDemand is a team's demand at one router, as reported to the aggregator of
// the team, or the total over all routers, as returned by the aggregator.
type TeamDemand struct {
	Team   string
	Demand Demand

	// IsTotal marks the total returned by the aggregator.
	IsTotal bool
}

// Message is sent from one router to another.
type Message struct {
	From, To string
	Teams    []TeamDemand
}

// Size estimates the size in bytes of the message as a datagram, with all
// headers.
func (m *Message) Size() int {
	size := headerBytes + len(m.From)
	for i := range m.Teams {
		size += teamBytes + len(m.Teams[i].Team)
	}
	return size
}

// Limiter enforces the limits of teams at one router.
type Limiter struct {
	self    string
	routers []string
	teams   map[string]*account
	reports map[string]map[string]report
	pending map[string][]TeamDemand
}

// account is the state of a team at this router. running counts its running
// requests. current is the demand in the current period, demand the decayed
// demand up to the last one, and total the last total from the aggregator.
type account struct {
	limits   contract.Limits
	requests bucket
	tokens   bucket
	running  int
	current  Demand
	demand   Demand
	total    Demand
	totalAt  time.Time
}

// report is a team's demand as last reported by a router.
type report struct {
	demand Demand
	at     time.Time
}

// NewLimiter returns a limiter for the router self, which is the only one until
// SetRouters is called.
func NewLimiter(self string) *Limiter {
	return &Limiter{
		self:    self,
		routers: []string{self},
		teams:   make(map[string]*account),
		reports: make(map[string]map[string]report),
		pending: make(map[string][]TeamDemand),
	}
}

// SetRouters sets the names of all routers; self is added if it is missing.
func (l *Limiter) SetRouters(names []string) {
	l.routers = slices.Clone(names)
	if !slices.Contains(l.routers, l.self) {
		l.routers = append(l.routers, l.self)
	}
}

// Allow charges a request with an estimated number of tokens to the team's
// limits and reports whether it is allowed. If not, nothing is charged and the
// duration is the time after which to retry.
func (l *Limiter) Allow(now time.Time, team *contract.Team, tokens float64) (time.Duration, bool) {
	if team == nil || team.Limits == (contract.Limits{}) {
		return 0, true
	}
	a := l.account(now, team)
	a.current.Requests++
	a.current.Tokens += tokens
	a.current.Running = max(a.current.Running, float64(a.running+1))
	runningLimit := l.runningLimit(now, a)
	if a.limits.MaxRunning > 0 && a.running >= runningLimit {
		return time.Second, false
	}
	requestRate := l.rate(now, a, a.limits.RequestsPerSecond, a.demand.Requests, a.total.Requests)
	tokenRate := l.rate(now, a, a.limits.TokensPerSecond, a.demand.Tokens, a.total.Tokens)
	if wait := a.requests.refill(now, requestRate, 1); wait > 0 {
		return wait, false
	}
	if wait := a.tokens.refill(now, tokenRate, 1); wait > 0 {
		return wait, false
	}
	a.requests.take(1)
	a.tokens.take(tokens)
	a.running++
	return 0, true
}

// Done ends a request that Allow admitted, and corrects its tokens by the
// difference between the actual and the estimated number.
func (l *Limiter) Done(team *contract.Team, difference float64) {
	a, ok := l.teams[team.Name]
	if !ok {
		return
	}
	a.running = max(a.running-1, 0)
	a.tokens.take(difference)
	a.current.Tokens = max(a.current.Tokens+difference, 0)
}

// EndPeriod ends the current period and returns the messages to send: this
// router's demand for the aggregators, and the totals of the teams that this
// router aggregates. It must be called once per Period.
func (l *Limiter) EndPeriod(now time.Time) []Message {
	for name, a := range l.teams {
		l.updateDemand(a)
		a.tokens.refill(now, l.rate(now, a, a.limits.TokensPerSecond, a.demand.Tokens, a.total.Tokens), 0)
		if a.demand.Requests < minReportedRate && a.running == 0 && a.tokens.level >= 0 {
			delete(l.teams, name)
			continue
		}
		aggregator := l.aggregator(name)
		report := TeamDemand{Team: name, Demand: a.demand}
		if aggregator == l.self {
			l.recordReport(now, l.self, report)
			continue
		}
		l.pending[aggregator] = append(l.pending[aggregator], report)
	}
	l.answerReports(now)
	messages := make([]Message, 0, len(l.pending))
	for to, teams := range l.pending {
		slices.SortFunc(teams, func(a, b TeamDemand) int { return compare(a.Team, b.Team) })
		messages = append(messages, Message{From: l.self, To: to, Teams: teams})
	}
	clear(l.pending)
	slices.SortFunc(messages, func(a, b Message) int { return compare(a.To, b.To) })
	return messages
}

// Receive processes a message from another router.
func (l *Limiter) Receive(now time.Time, m Message) {
	for _, team := range m.Teams {
		if !team.IsTotal {
			l.recordReport(now, m.From, team)
			continue
		}
		if a, ok := l.teams[team.Team]; ok {
			a.total = team.Demand
			a.totalAt = now
		}
	}
}

// updateDemand ends a period for a team: it updates the decayed demand and
// resets the current one.
func (l *Limiter) updateDemand(a *account) {
	seconds := ReportInterval.Seconds()
	a.demand.Requests = max(a.current.Requests/seconds, a.demand.Requests*demandDecay)
	a.demand.Tokens = max(a.current.Tokens/seconds, a.demand.Tokens*demandDecay)
	a.demand.Running = max(a.current.Running, float64(a.running))
	a.current = Demand{}
}

// recordReport records a report at the aggregator.
func (l *Limiter) recordReport(now time.Time, from string, team TeamDemand) {
	reports, ok := l.reports[team.Team]
	if !ok {
		reports = make(map[string]report)
		l.reports[team.Team] = reports
	}
	reports[from] = report{demand: team.Demand, at: now}
}

// answerReports sends the total demand of each team that this router aggregates
// to the routers that reported it.
func (l *Limiter) answerReports(now time.Time) {
	for team, reports := range l.reports {
		var total Demand
		for from, r := range reports {
			if now.Sub(r.at) > StalePeriods*ReportInterval {
				delete(reports, from)
				continue
			}
			total.Requests += r.demand.Requests
			total.Tokens += r.demand.Tokens
			total.Running += r.demand.Running
		}
		if len(reports) == 0 {
			delete(l.reports, team)
			continue
		}
		for from := range reports {
			l.sendTotal(now, from, TeamDemand{Team: team, Demand: total, IsTotal: true})
		}
	}
}

// sendTotal queues a total for a router, or processes it directly if that is
// this one.
func (l *Limiter) sendTotal(now time.Time, to string, team TeamDemand) {
	if to == l.self {
		l.Receive(now, Message{From: l.self, To: l.self, Teams: []TeamDemand{team}})
		return
	}
	l.pending[to] = append(l.pending[to], team)
}

// share returns the router's share of a team's limit, from 0 to 1.
func (l *Limiter) share(now time.Time, a *account, own, total float64) float64 {
	even := 1 / float64(len(l.routers))
	if now.Sub(a.totalAt) > StalePeriods*ReportInterval || total <= 0 {
		return even
	}
	return EvenShare*even + (1-EvenShare)*min(own/total, 1)
}

// rate returns this router's share of a rate limit. Zero means no limit.
func (l *Limiter) rate(now time.Time, a *account, limit, own, total float64) float64 {
	return limit * l.share(now, a, own, total)
}

// runningLimit returns this router's share of the limit of running requests, at
// least one.
func (l *Limiter) runningLimit(now time.Time, a *account) int {
	share := l.share(now, a, a.demand.Running, a.total.Running)
	return max(1, int(float64(a.limits.MaxRunning)*share+0.5))
}

// account returns the team's account, creating it if necessary, and updates its
// limits.
func (l *Limiter) account(now time.Time, team *contract.Team) *account {
	a, ok := l.teams[team.Name]
	if !ok {
		a = &account{requests: newBucket(now), tokens: newBucket(now)}
		l.teams[team.Name] = a
	}
	a.limits = team.Limits
	return a
}

// aggregator returns the router that adds up a team's demand: the one with the
// highest rendezvous hash.
func (l *Limiter) aggregator(team string) string {
	best, highest := "", uint64(0)
	for _, router := range l.routers {
		h := xxhash.Sum64String(team + "\x00" + router)
		if best == "" || h > highest {
			best, highest = router, h
		}
	}
	return best
}

// compare returns -1, 0 or 1 depending on the order of two strings.
func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

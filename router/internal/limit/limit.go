// Package limit holds the limits of teams over all routers together. Each
// router applies a part of a team's limit, in proportion to its part of the
// team's demand. A keeper for each team, the router with the highest rendezvous
// hash, adds up the demand that routers report and tells them the sum. Nothing
// is written to the table service. It is pure code, is not safe for concurrent
// use, and imports package contract only.
package limit

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipetally.example/router/internal/contract"
)

const (
	// Period is how often a router reports to the keepers.
	Period = time.Second

	// Burst is the time for which a team may use its rate at once.
	Burst = time.Second

	// EvenShare is the part of a limit that is spread evenly over the routers, so
	// that a router without demand yet has some. It bounds the error: routers
	// that agree on the sum admit no more than the limit; one whose sums are
	// a period old exceeds its part for at most that period.
	EvenShare = 0.1

	// fade is the factor by which demand of an earlier period counts on.
	fade = 0.5

	// faint is the demand under which a team is no longer reported.
	faint = 0.2

	// headerBytes is the size of a datagram beyond the name of its sender: 28
	// for UDP and IP, 16 for the seal, and 14 for the time and tags. A team
	// takes teamBytes and its name.
	headerBytes = 58
	teamBytes   = 21

	// Stale is the number of periods after which a report no longer counts.
	Stale = 4
)

// Demand is a team's demand at one router: requests and tokens a second, and
// requests in progress or refused for their number.
type Demand struct {
	Requests float64
	Tokens   float64
	Running  float64
}

// TeamDemand is what a router reports of a team to its keeper, and what the keeper
// answers: then Use is the sum over all routers.
type TeamDemand struct {
	Team   string
	Demand Demand

	// IsTotal marks a keeper's answer.
	IsTotal bool
}

// Message goes from one router to another.
type Message struct {
	From, To string
	Teams    []TeamDemand
}

// Size estimates the size of the message as a datagram, with all headers.
func (m *Message) Size() int {
	size := headerBytes + len(m.From)
	for i := range m.Teams {
		size += teamBytes + len(m.Teams[i].Team)
	}
	return size
}

// Limiter applies the limits of teams at one router.
type Limiter struct {
	self    string
	routers []string
	teams   map[string]*account
	kept    map[string]map[string]report
	pending map[string][]TeamDemand
}

// account is a team at this router.
type account struct {
	limits   contract.Limits
	requests bucket
	tokens   bucket
	running  int
	asked    Demand
	demand   Demand
	sum      Demand
	heard    time.Time
}

// report is a team's demand at another router.
type report struct {
	use Demand
	at  time.Time
}

// NewLimiter returns a limiter for the router self, alone so far.
func NewLimiter(self string) *Limiter {
	return &Limiter{
		self:    self,
		routers: []string{self},
		teams:   make(map[string]*account),
		kept:    make(map[string]map[string]report),
		pending: make(map[string][]TeamDemand),
	}
}

// SetRouters sets the names of all routers. Self is added if it is missing.
func (l *Limiter) SetRouters(names []string) {
	l.routers = slices.Clone(names)
	if !slices.Contains(l.routers, l.self) {
		l.routers = append(l.routers, l.self)
	}
}

// Allow takes a request with an estimated number of tokens from the team's
// limits. If it is not allowed, the result is when to come back.
func (l *Limiter) Allow(now time.Time, team *contract.Team, tokens float64) (time.Duration, bool) {
	if team == nil || team.Limits == (contract.Limits{}) {
		return 0, true
	}
	a := l.account(now, team)
	a.asked.Requests++
	a.asked.Tokens += tokens
	a.asked.Running = max(a.asked.Running, float64(a.running+1))
	running := l.running(now, a)
	if a.limits.Running > 0 && a.running >= running {
		return time.Second, false
	}
	requests := l.rate(now, a, a.limits.Requests, a.demand.Requests, a.sum.Requests)
	rate := l.rate(now, a, a.limits.Tokens, a.demand.Tokens, a.sum.Tokens)
	if wait := a.requests.wait(now, requests, 1); wait > 0 {
		return wait, false
	}
	if wait := a.tokens.wait(now, rate, 1); wait > 0 {
		return wait, false
	}
	a.requests.take(1)
	a.tokens.take(tokens)
	a.running++
	return 0, true
}

// Done gives back a request that Allow took, and corrects its tokens by the
// difference between the real and the estimated number.
func (l *Limiter) Done(team *contract.Team, difference float64) {
	a, ok := l.teams[team.Name]
	if !ok {
		return
	}
	a.running = max(a.running-1, 0)
	a.tokens.take(difference)
	a.asked.Tokens = max(a.asked.Tokens+difference, 0)
}

// EndPeriod returns the messages of a period: the own demand to the keepers, and
// the sums of the teams that this router keeps. It is called once a Period.
func (l *Limiter) EndPeriod(now time.Time) []Message {
	for name, a := range l.teams {
		l.turn(a)
		a.tokens.wait(now, l.rate(now, a, a.limits.Tokens, a.demand.Tokens, a.sum.Tokens), 0)
		if a.demand.Requests < faint && a.running == 0 && a.tokens.level >= 0 {
			delete(l.teams, name)
			continue
		}
		keeper := l.keeper(name)
		usage := TeamDemand{Team: name, Demand: a.demand}
		if keeper == l.self {
			l.take(now, l.self, usage)
			continue
		}
		l.pending[keeper] = append(l.pending[keeper], usage)
	}
	l.sums(now)
	messages := make([]Message, 0, len(l.pending))
	for to, usages := range l.pending {
		slices.SortFunc(usages, func(a, b TeamDemand) int { return compare(a.Team, b.Team) })
		messages = append(messages, Message{From: l.self, To: to, Teams: usages})
	}
	clear(l.pending)
	slices.SortFunc(messages, func(a, b Message) int { return compare(a.To, b.To) })
	return messages
}

// Receive takes in a message of another router.
func (l *Limiter) Receive(now time.Time, m Message) {
	for _, usage := range m.Teams {
		if !usage.IsTotal {
			l.take(now, m.From, usage)
			continue
		}
		if a, ok := l.teams[usage.Team]; ok {
			a.sum = usage.Demand
			a.heard = now
		}
	}
}

// turn closes a period of a team's demand.
func (l *Limiter) turn(a *account) {
	seconds := Period.Seconds()
	a.demand.Requests = max(a.asked.Requests/seconds, a.demand.Requests*fade)
	a.demand.Tokens = max(a.asked.Tokens/seconds, a.demand.Tokens*fade)
	a.demand.Running = max(a.asked.Running, float64(a.running))
	a.asked = Demand{}
}

// take books a report at the keeper.
func (l *Limiter) take(now time.Time, from string, usage TeamDemand) {
	reports, ok := l.kept[usage.Team]
	if !ok {
		reports = make(map[string]report)
		l.kept[usage.Team] = reports
	}
	reports[from] = report{use: usage.Demand, at: now}
}

// sums tells the routers that reported a team the sum of its demand.
func (l *Limiter) sums(now time.Time) {
	for team, reports := range l.kept {
		var sum Demand
		for from, r := range reports {
			if now.Sub(r.at) > Stale*Period {
				delete(reports, from)
				continue
			}
			sum.Requests += r.use.Requests
			sum.Tokens += r.use.Tokens
			sum.Running += r.use.Running
		}
		if len(reports) == 0 {
			delete(l.kept, team)
			continue
		}
		for from := range reports {
			l.answer(now, from, TeamDemand{Team: team, Demand: sum, IsTotal: true})
		}
	}
}

// answer passes a sum to a router, or takes it in if that is this one.
func (l *Limiter) answer(now time.Time, to string, usage TeamDemand) {
	if to == l.self {
		l.Receive(now, Message{From: l.self, To: l.self, Teams: []TeamDemand{usage}})
		return
	}
	l.pending[to] = append(l.pending[to], usage)
}

// part returns the router's part of a team's limit, from 0 to 1.
func (l *Limiter) part(now time.Time, a *account, own, sum float64) float64 {
	even := 1 / float64(len(l.routers))
	if now.Sub(a.heard) > Stale*Period || sum <= 0 {
		return even
	}
	return EvenShare*even + (1-EvenShare)*min(own/sum, 1)
}

// rate returns the router's part of a rate. Zero stands for no limit.
func (l *Limiter) rate(now time.Time, a *account, whole, own, sum float64) float64 {
	return whole * l.part(now, a, own, sum)
}

// running returns the router's part of the requests in progress, at least one.
func (l *Limiter) running(now time.Time, a *account) int {
	part := l.part(now, a, a.demand.Running, a.sum.Running)
	return max(1, int(float64(a.limits.Running)*part+0.5))
}

// account returns the team's account and brings its limits up to date.
func (l *Limiter) account(now time.Time, team *contract.Team) *account {
	a, ok := l.teams[team.Name]
	if !ok {
		a = &account{requests: newBucket(now), tokens: newBucket(now)}
		l.teams[team.Name] = a
	}
	a.limits = team.Limits
	return a
}

// keeper returns the router that adds up a team's demand.
func (l *Limiter) keeper(team string) string {
	best, most := "", uint64(0)
	for _, router := range l.routers {
		h := xxhash.Sum64String(team + "\x00" + router)
		if best == "" || h > most {
			best, most = router, h
		}
	}
	return best
}

// compare orders two strings.
func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"snipetally.example/coordination/seeds"
	"snipetally.example/router/internal/placement"
)

func init() {
	seeds.Fix()
}

// drawServers draws some engines of a service, which may be without known
// memory or event size.
func drawServers(rt *rapid.T) []placement.Server {
	servers := make([]placement.Server, rapid.IntRange(0, 7).Draw(rt, "servers"))
	for i := range servers {
		servers[i] = placement.Server{
			ID: fmt.Sprint(i), Service: "llm", Engine: true,
			Slots:          rapid.IntRange(0, 12).Draw(rt, "slots"),
			CacheTokens:    rapid.Int64Range(0, 100_000).Draw(rt, "cache"),
			TokensPerEvent: rapid.IntRange(0, 8).Draw(rt, "tokens per event"),
		}
	}
	return servers
}

// drawRequest draws a request of one of three classes. Every value that callers
// or operators set may be missing.
func drawRequest(rt *rapid.T) placement.Request {
	class := rapid.IntRange(0, 2).Draw(rt, "class")
	prompt := rapid.IntRange(0, 20_000).Draw(rt, "prompt")
	r := placement.Request{
		Service: "llm", Class: fmt.Sprint(class), PromptTokens: prompt, Priority: class,
		OutputTokens: rapid.IntRange(0, 500).Draw(rt, "output"),
		Target:       time.Duration(rapid.IntRange(0, 2000).Draw(rt, "target")) * time.Millisecond,
		Gap:          time.Duration(rapid.IntRange(0, 500).Draw(rt, "gap")) * time.Millisecond,
		Draw:         rapid.Uint64().Draw(rt, "draw"),
	}
	if rapid.Bool().Draw(rt, "session") {
		session := rapid.Uint64Range(1, 4).Draw(rt, "id")
		r.Parts = []placement.Part{{ID: session, Tokens: prompt / 2}, {ID: r.Draw, Tokens: prompt - prompt/2}}
	}
	return r
}

// TestEveryChoiceIsAServerThatWasNotTried lets a router place and end random
// requests while servers come and go. Each choice is one of the current servers
// that were not tried and may hold the prompt, there is one if any is left, and no load remains when all
// requests have ended.
func TestEveryChoiceIsAServerThatWasNotTried(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := gomega.NewWithT(rt)
		now := time.Unix(1e9, 0)
		balancer := placement.NewBalancer(now, "self", "zone")
		servers := drawServers(rt)
		balancer.SetServers(now, servers)
		var open []*placement.Reservation
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(rt, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(rt, "step") {
			case 0:
				servers = drawServers(rt)
				balancer.SetServers(now, servers)
			case 1, 2, 3:
				if len(open) > 0 {
					outcome := placement.Outcome(rapid.IntRange(0, int(placement.Canceled)).Draw(rt, "outcome"))
					open[0].RecordFirstEvent(now)
					open[0].Done(now, outcome)
					open = open[1:]
				}
			default:
				tried := drawTried(rt, servers)
				request := drawRequest(rt)
				fitting := fittingServers(servers, request)
				reservation, choice, err := balancer.Pick(now, request, tried)
				switch {
				case err == nil:
					open = append(open, reservation)
					expectUntried(g, fitting, tried, choice.Server)
				case errors.Is(err, placement.ErrBusy):
					expectUntried(g, fitting, tried, choice.Server)
				case errors.Is(err, placement.ErrTooLarge):
					g.Expect(len(tried)).To(gomega.BeNumerically("<", len(servers)), "none was left")
					for _, s := range fitting {
						g.Expect(tried).To(gomega.ContainElement(s.ID), "a server was left")
					}
				default:
					g.Expect(err).To(gomega.MatchError(placement.ErrNoServer))
					g.Expect(tried).To(gomega.HaveLen(len(servers)), "a server was left")
				}
			}
		}
		for _, reservation := range open {
			reservation.Done(now, placement.Served)
		}
		g.Expect(balancer.EngineLoads()).To(gomega.BeEmpty())
	})
}

// fittingServers returns the servers whose memory may hold the prompt of a request.
func fittingServers(servers []placement.Server, request placement.Request) []placement.Server {
	var fitting []placement.Server
	for _, s := range servers {
		if s.CacheTokens == 0 || s.CacheTokens >= int64(request.PromptTokens) {
			fitting = append(fitting, s)
		}
	}
	return fitting
}

// drawTried draws the servers that a request has tried.
func drawTried(rt *rapid.T, servers []placement.Server) []string {
	var tried []string
	for _, s := range servers {
		if rapid.IntRange(0, 3).Draw(rt, "tried") == 0 {
			tried = append(tried, s.ID)
		}
	}
	return tried
}

// expectUntried checks that a chosen server exists and was not tried.
func expectUntried(g gomega.Gomega, servers []placement.Server, tried []string, chosen string) {
	g.Expect(slices.ContainsFunc(servers, func(s placement.Server) bool { return s.ID == chosen })).To(gomega.BeTrue(), chosen)
	g.Expect(tried).NotTo(gomega.ContainElement(chosen))
}

// TestSumOfLoadsIsTheLoadOfAll adds random loads and compares the sums of each
// kind.
func TestSumOfLoadsIsTheLoadOfAll(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := gomega.NewWithT(rt)
		var loads []placement.Load
		running, reserved, queued, streams := 0, 0, 0, 0
		for range rapid.IntRange(0, 6).Draw(rt, "loads") {
			load := placement.Load{
				Running:        rapid.IntRange(0, 20).Draw(rt, "running"),
				ReservedTokens: rapid.IntRange(0, 9000).Draw(rt, "reserved"),
				Queued: []placement.QueuedTokens{{
					Priority: rapid.IntRange(0, 20).Draw(rt, "priority"), Tokens: rapid.IntRange(1, 9000).Draw(rt, "queued"),
				}},
				Streams: []placement.StreamCount{{
					Gap: time.Duration(rapid.IntRange(1, 4).Draw(rt, "gap")) * time.Second, Streams: rapid.IntRange(1, 9).Draw(rt, "streams"),
				}},
			}
			loads = append(loads, load)
			running, reserved = running+load.Running, reserved+load.ReservedTokens
			queued, streams = queued+load.Queued[0].Tokens, streams+load.Streams[0].Streams
		}
		sum := placement.SumLoads(loads...)
		for _, q := range sum.Queued {
			queued -= q.Tokens
		}
		for _, s := range sum.Streams {
			streams -= s.Streams
		}
		g.Expect([]int{sum.Running, sum.ReservedTokens, queued, streams}).To(gomega.Equal([]int{running, reserved, 0, 0}))
	})
}

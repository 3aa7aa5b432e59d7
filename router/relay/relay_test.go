package relay_test

import (
	"bytes"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/coordination/feed"
	"snipetally.example/router/relay"
)

// planOf returns a plan with the classes.
func planOf(classes ...relay.Class) relay.Plan {
	return relay.Plan{Version: 1, Classes: classes, Services: []relay.Service{{Name: "s"}}}
}

func TestNoPlanIsNoReasonToDenyARequest(t *testing.T) {
	g := gomega.NewWithT(t)
	r, _ := start(t, relay.Plan{})
	r.await(t, func() bool { return r.call(t, http.MethodGet, "/a/x", "").status != 0 })
	got := r.call(t, http.MethodGet, "/a/x", "")
	g.Expect(got.status).To(gomega.Equal(http.StatusServiceUnavailable))
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(after).To(gomega.BeNumerically(">", 0))
	g.Expect(r.isReady(t)).To(gomega.BeFalse())
}

func TestLongestPrefixSelectsTheClass(t *testing.T) {
	g := gomega.NewWithT(t)
	outer, inner := class("a", relay.Idempotent, 1), class("a/b", relay.Idempotent, 1)
	inner.Splits = []relay.Split{{Service: "none", Weight: 1}}
	r, backends := start(t, planOf(outer, inner), serve("outer"))
	g.Expect(r.call(t, http.MethodGet, "/a/x?y=1", "").body).To(gomega.Equal("outer"))
	g.Expect(r.call(t, http.MethodGet, "/a/b/x", "").status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(r.call(t, http.MethodGet, "/c/", "").status).To(gomega.Equal(http.StatusNotFound))
	g.Expect(backends[0].arrived.Load()).To(gomega.Equal(int32(1)))
}

func TestRequestThatMayHaveRunIsNotRepeated(t *testing.T) {
	g := gomega.NewWithT(t)
	r, backends := start(t, planOf(class("a", relay.NonIdempotent, 3)), reset, reset)
	got := r.call(t, http.MethodGet, "/a/x", "")
	g.Expect(got.status).To(gomega.Equal(http.StatusBadGateway))
	g.Expect(backends[0].arrived.Load() + backends[1].arrived.Load()).To(gomega.Equal(int32(1)))
}

func TestRejectedRequestGoesToAnotherServer(t *testing.T) {
	g := gomega.NewWithT(t)
	full := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(unrunHeader, "yes")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	r, _ := start(t, planOf(class("a", relay.NonIdempotent, 1)), full, serve("ok"))
	for range 5 {
		got := r.call(t, http.MethodPost, "/a/x", "")
		g.Expect(got.body).To(gomega.Equal("ok"))
	}
}

func TestIdempotentRequestIsRepeatedWithinItsAttempts(t *testing.T) {
	g := gomega.NewWithT(t)
	fails := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(signedHeader, "yes")
		w.WriteHeader(http.StatusInternalServerError)
	}
	r, backends := start(t, planOf(class("a", relay.Idempotent, 2)), fails, fails, fails)
	got := r.call(t, http.MethodGet, "/a/x", "")
	g.Expect(got.status).To(gomega.Equal(http.StatusInternalServerError))
	g.Expect(got.header.Get(signedHeader)).To(gomega.Equal("yes"))
	total := int32(0)
	for _, b := range backends {
		total += b.arrived.Load()
	}
	g.Expect(total).To(gomega.Equal(int32(2)))
}

func TestUnsignedSuccessIsNotPassedOn(t *testing.T) {
	g := gomega.NewWithT(t)
	unsigned := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }
	r, _ := start(t, planOf(class("a", relay.NonIdempotent, 1)), unsigned)
	g.Expect(r.call(t, http.MethodGet, "/a/x", "").status).To(gomega.Equal(http.StatusBadGateway))
}

func TestBrokenStreamGoesOnAtAnotherServer(t *testing.T) {
	g := gomega.NewWithT(t)
	stream := class("a", relay.Stream, 2)
	stream.Resumable = true
	// Both break off when they begin and go on to the end when resumed.
	flaky := func(w http.ResponseWriter, q *http.Request) {
		if q.Header.Get(afterHeader) == "" {
			events(1, 3, false)(w, q)
			return
		}
		events(1, 5, true)(w, q)
	}
	r, _ := start(t, planOf(stream), flaky, flaky)
	got := r.call(t, http.MethodPost, "/a/x", "")
	g.Expect(got.err).NotTo(gomega.HaveOccurred())
	g.Expect(got.body).To(gomega.Equal(
		"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\nid: 5\ndata: 5\n\n"))
}

func TestBrokenStreamThatCannotGoOnDoesNotLookWhole(t *testing.T) {
	g := gomega.NewWithT(t)
	r, backends := start(t, planOf(class("a", relay.Stream, 2)), events(1, 3, false), events(1, 3, false))
	got := r.call(t, http.MethodPost, "/a/x", "")
	g.Expect(got.err).To(gomega.HaveOccurred())
	g.Expect(backends[0].arrived.Load() + backends[1].arrived.Load()).To(gomega.Equal(int32(1)))
}

func TestKeysDecideTheTeam(t *testing.T) {
	g := gomega.NewWithT(t)
	plan := planOf(class("a", relay.Idempotent, 1))
	plan.Teams = []relay.Team{{Name: "red", Keys: []string{"k1"}}}
	team := func(w http.ResponseWriter, q *http.Request) {
		serve(q.Header.Get(teamHeader)+","+q.Header.Get(keyHeader))(w, q)
	}
	r, _ := start(t, plan, team)
	g.Expect(r.call(t, http.MethodGet, "/a/x", "k1").body).To(gomega.Equal("red,"))
	g.Expect(r.call(t, http.MethodGet, "/a/x", "k2").status).To(gomega.Equal(http.StatusUnauthorized))
}

// TestKeysAreRefusedWhenTheyMayBeWithdrawn suspends the VM: its clock jumps
// while the table is away. Requests without a key go on.
func TestKeysAreRefusedWhenTheyMayBeWithdrawn(t *testing.T) {
	g := gomega.NewWithT(t)
	open := class("open", relay.Idempotent, 1)
	open.Public = true
	plan := planOf(class("a", relay.Idempotent, 1), open)
	plan.Teams = []relay.Team{{Name: "red", Keys: []string{"k1"}}}
	r, _ := start(t, plan, serve("ok"))
	g.Expect(r.call(t, http.MethodGet, "/a/x", "k1").body).To(gomega.Equal("ok"))
	r.plans.setAway(true)
	r.ahead.Add(int64(revocation))
	g.Expect(r.call(t, http.MethodGet, "/a/x", "k1").status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(r.call(t, http.MethodGet, "/a/x", "unknown").status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(r.call(t, http.MethodGet, "/open/x", "").body).To(gomega.Equal("ok"))
	r.plans.setAway(false)
	r.await(t, func() bool { return r.call(t, http.MethodGet, "/a/x", "k1").body == "ok" })
}

func TestPlanNeverGoesBack(t *testing.T) {
	g := gomega.NewWithT(t)
	newer := planOf(class("a", relay.Idempotent, 1))
	newer.Version = 9
	r, _ := start(t, newer, serve("ok"))
	older := planOf(class("b", relay.Idempotent, 1))
	older.Version = 8
	r.plans.set(feed.Change[relay.Plan]{Key: "plan", Value: older})
	next := planOf(class("a", relay.Idempotent, 1), class("c", relay.Idempotent, 1))
	next.Version = 12
	g.Expect(r.call(t, http.MethodGet, "/b/x", "").status).To(gomega.Equal(http.StatusNotFound))
	r.plans.set(feed.Change[relay.Plan]{Key: "plan", Value: next})
	r.await(t, func() bool { return r.call(t, http.MethodGet, "/c/x", "").body == "ok" })
	g.Expect(r.dump(t)).To(gomega.HaveKeyWithValue("Version", 12.0))
}

func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	r, backends := start(t, planOf(class("a", relay.Idempotent, 1)), serve("stays"), serve("leaves"))
	rows := []feed.Change[relay.Server]{
		{Key: "server-0", Value: relay.Server{ID: "server-0", Service: "s", Address: backends[0].server.Listener.Addr().String()}},
		{Key: "server-1", Value: relay.Server{
			ID: "server-1", Service: "s", Address: backends[1].server.Listener.Addr().String(), Draining: true,
		}},
	}
	r.servers.set(rows...)
	r.await(t, func() bool { return len(r.dump(t)["Servers"].([]any)) == 1 })
	before := backends[1].arrived.Load()
	for range 10 {
		g.Expect(r.call(t, http.MethodGet, "/a/x", "").body).To(gomega.Equal("stays"))
	}
	g.Expect(backends[1].arrived.Load()).To(gomega.Equal(before))
}

// TestKindOfServersIsKnownWhicheverTableComesFirst has a router that learns its
// servers while it knows no plan. The state dump tells the kind.
func TestKindOfServersIsKnownWhicheverTableComesFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	r, _ := start(t, relay.Plan{}, serve("ok"))
	r.await(t, func() bool { return r.call(t, http.MethodGet, "/a/x", "").status != 0 })
	plan := planOf(class("a", relay.Stream, 1))
	plan.Version = 3
	plan.Services[0].Slots = 16
	r.plans.set(feed.Change[relay.Plan]{Key: "plan", Value: plan})
	r.await(t, func() bool { return r.isReady(t) })
	servers := r.dump(t)["Servers"].([]any)
	g.Expect(servers).To(gomega.HaveLen(1))
	g.Expect(servers[0]).To(gomega.HaveKeyWithValue("Engine", true))
}

// TestStreamMovesOffALeavingServer has a stream that may not run twice on a
// server that leaves. Its run goes on elsewhere from the copy of its memory.
func TestStreamMovesOffALeavingServer(t *testing.T) {
	g := gomega.NewWithT(t)
	plan := planOf(class("a", relay.Stream, 1))
	plan.Services[0] = relay.Service{Name: "s", Slots: 4, TokensPerEvent: 1, SupportsMigration: true}
	stopped := make(chan struct{})
	began := make(chan string, 1)
	copies := make(chan string, 1)
	engine := func(w http.ResponseWriter, q *http.Request) {
		if c := q.Header.Get(copyHeader); c != "" {
			copies <- c
			events(1, 4, true)(w, q)
			return
		}
		w.Header().Set(signedHeader, "yes")
		_, _ = io.WriteString(w, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
		_ = http.NewResponseController(w).Flush()
		began <- q.Header.Get(lifetimeHeader)
		<-stopped
		panic(http.ErrAbortHandler)
	}
	var source string
	m := mover(func(move relay.MigrationRequest) (relay.KVCopy, error) {
		source = move.Source
		close(stopped)
		return relay.KVCopy{Source: move.Source, Handle: "h1"}, nil
	})
	r, backends := startWith(t, m, plan, engine, engine)
	got := make(chan reply, 1)
	go func() { got <- r.call(t, http.MethodPost, "/a/x", "") }()
	leaving := <-began
	var rows []feed.Change[relay.Server]
	for _, b := range backends {
		rows = append(rows, feed.Change[relay.Server]{Key: b.id, Value: relay.Server{
			ID: b.id, Service: "s", Address: b.server.Listener.Addr().String(), Slots: 4, Draining: b.id == leaving,
		}})
	}
	r.servers.set(rows...)
	end := <-got
	g.Expect(end.err).NotTo(gomega.HaveOccurred())
	g.Expect(end.body).To(gomega.Equal(
		"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\n"))
	g.Expect(<-copies).To(gomega.Equal(source + "/h1"))
}

// TestBodiesKeepToTheirRoom sends bodies of known and of unknown length, within
// the plan's limit, beyond it and beyond the room.
func TestBodiesKeepToTheirRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	count := func(w http.ResponseWriter, q *http.Request) {
		n, _ := io.Copy(io.Discard, q.Body)
		serve(strconv.FormatInt(n, 10))(w, q)
	}
	plan := planOf(class("a", relay.NonIdempotent, 1))
	plan.Limits.MaxBodyBytes = 32 << 20
	r, _ := start(t, plan, count)
	for size, status := range map[int64]int{
		0: http.StatusOK, 1: http.StatusOK, 1 << 20: http.StatusOK,
		20 << 20: http.StatusServiceUnavailable, 33 << 20: http.StatusRequestEntityTooLarge,
	} {
		for _, body := range []io.Reader{
			bytes.NewReader(make([]byte, size)), io.LimitReader(zeros{}, size),
		} {
			got := r.callWith(t, http.MethodPost, "/a/x", "", body)
			if got.err != nil {
				continue // The router answers and closes while the body is on its way.
			}
			if _, known := body.(*bytes.Reader); !known && size > memory/4 {
				status = http.StatusServiceUnavailable // Room ends before the limit.
			}
			g.Expect(got.status).To(gomega.Equal(status), "%d bytes", size)
			if status == http.StatusOK {
				g.Expect(got.body).To(gomega.Equal(strconv.FormatInt(size, 10)))
			}
		}
	}
	g.Expect(r.call(t, http.MethodPost, "/a/x", "").status).To(gomega.Equal(http.StatusOK), "room was given back")
}

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// TestFailureOfAServerIsGivenWhenThereIsNoOther has one server that fails and
// one that rejects. The failure is what the caller gets, in whichever order.
func TestFailureOfAServerIsGivenWhenThereIsNoOther(t *testing.T) {
	g := gomega.NewWithT(t)
	fails := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(signedHeader, "yes")
		w.WriteHeader(http.StatusInternalServerError)
	}
	full := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(unrunHeader, "yes")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	r, _ := start(t, planOf(class("a", relay.Idempotent, 3)), fails, full)
	for range 6 {
		got := r.call(t, http.MethodGet, "/a/x", "")
		g.Expect(got.status).To(gomega.Equal(http.StatusInternalServerError))
		g.Expect(got.header.Get(signedHeader)).To(gomega.Equal("yes"))
	}
}

func TestHeaderBeyondTheLimitIsRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	plan := planOf(class("a", relay.Idempotent, 1))
	plan.Limits.MaxHeaderBytes = 500
	r, backends := start(t, plan, serve("ok"))
	g.Expect(r.call(t, http.MethodGet, "/a/x", "").status).To(gomega.Equal(http.StatusOK))
	got := r.call(t, http.MethodGet, "/a/"+strings.Repeat("x", 500), "")
	g.Expect(got.status).To(gomega.Equal(http.StatusRequestHeaderFieldsTooLarge))
	g.Expect(backends[0].arrived.Load()).To(gomega.Equal(int32(1)))
}

// TestMetersTellOutcomesByClass serves a class, and then puts a plan in force
// that has it no more.
func TestMetersTellOutcomesByClass(t *testing.T) {
	g := gomega.NewWithT(t)
	r, _ := start(t, planOf(class("a", relay.Idempotent, 1)), serve("ok"))
	g.Expect(r.call(t, http.MethodGet, "/a/x", "").status).To(gomega.Equal(http.StatusOK))
	g.Expect(r.call(t, http.MethodGet, "/b/x", "").status).To(gomega.Equal(http.StatusNotFound))
	served := regexp.MustCompile(`class\.a\.served\s+count:\s+1\s`)
	r.await(t, func() bool { return served.MatchString(r.metrics(t)) }) // Counted after the caller has its answer.
	text := r.metrics(t)
	g.Expect(text).To(gomega.MatchRegexp(`service\.s\.answered\s+count:\s+1\s`))
	g.Expect(text).To(gomega.MatchRegexp(`plan\.version\s+value:\s+1\s`))
	g.Expect(text).To(gomega.ContainSubstring("table.plan.read"))
	next := planOf(class("b", relay.Idempotent, 1))
	next.Version = 2
	r.plans.set(feed.Change[relay.Plan]{Key: "plan", Value: next})
	r.await(t, func() bool { return r.call(t, http.MethodGet, "/b/x", "").status == http.StatusOK })
	g.Expect(r.metrics(t)).NotTo(gomega.ContainSubstring("class.a."))
}

// TestStreamThatPausesIsLate has a server that begins at once and then pauses
// for longer than the class allows.
func TestStreamThatPausesIsLate(t *testing.T) {
	g := gomega.NewWithT(t)
	const gap = 5 * time.Millisecond
	pauses := func(w http.ResponseWriter, q *http.Request) {
		events(1, 1, true)(w, q)
		time.Sleep(4 * gap)
		q.Header.Set(afterHeader, "1")
		events(2, 2, true)(w, q)
	}
	stream := class("a", relay.Stream, 1)
	stream.TargetGap = gap
	r, _ := start(t, planOf(stream), pauses)
	g.Expect(r.call(t, http.MethodPost, "/a/x", "").body).To(gomega.Equal("id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"))
	late := regexp.MustCompile(`class\.a\.late\s+count:\s+1\s`)
	r.await(t, func() bool { return late.MatchString(r.metrics(t)) })
}

package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/relay"
)

// silentServers are servers that are silent until the router has noticed it, and
// then go on.
type silentServers struct {
	goOn chan struct{}
}

// answerLate answers a request that is not a stream after the silence.
func (s *silentServers) answerLate(w http.ResponseWriter, _ *http.Request) {
	<-s.goOn
	respond("late")(w, nil)
}

// pauseInStream sends two events, and two more after the silence.
func (s *silentServers) pauseInStream(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(signedHeader, "yes")
	_, _ = io.WriteString(w, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
	_ = http.NewResponseController(w).Flush()
	<-s.goOn
	_, _ = io.WriteString(w, "id: 3\ndata: 3\n\nid: 4\ndata: 4\n\n")
}

// fourEvents is the complete stream of pauseInStream.
const fourEvents = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\n"

// newQuickClass returns a class that may run three times and whose servers soon
// count as silent.
func newQuickClass(kind relay.Kind) relay.Class {
	class := newClass("a", kind, 3)
	class.Resumable = kind == relay.Stream
	class.TargetLatency, class.TargetGap = time.Millisecond, time.Millisecond
	return class
}

// Guards against requests that are ended at a silent server, which goes on, when
// there is no retry, no attempt or no place for another one.
func TestAttemptAtSilentServerGoesOnWithoutASuccessor(t *testing.T) {
	withoutRetries := func(c *relay.Config) { c.Bounds.RetryRatio = 0 }
	cases := map[string]struct {
		configure func(*relay.Config)
		attempts  int
		servers   int
	}{
		"no retry in the budget": {withoutRetries, 3, 2},
		"no attempt left":        {func(*relay.Config) {}, 1, 2},
		"no other server":        {func(*relay.Config) {}, 3, 1},
	}
	for name, c := range cases {
		for _, kind := range []relay.Kind{relay.Idempotent, relay.Stream} {
			t.Run(fmt.Sprint(name, ", ", kind), func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				servers := &silentServers{goOn: make(chan struct{})}
				handler, want := servers.answerLate, "late"
				if kind == relay.Stream {
					handler, want = servers.pauseInStream, fourEvents
				}
				class := newQuickClass(kind)
				class.MaxAttempts = c.attempts
				handlers := []http.HandlerFunc{handler, handler}[:c.servers]
				r, backends := startConfiguredNode(t, c.configure, newPlan(class), handlers...)
				goOn := sync.OnceFunc(func() { close(servers.goOn) })
				t.Cleanup(goOn)
				end := make(chan reply, 1)
				go func() { end <- r.call(t, http.MethodPost, "/a/x", "") }()
				g.Eventually(r.logged("server silent", 1), noticeTime).Should(gomega.BeTrue())
				time.Sleep(afterSilence)
				goOn()
				got := <-end
				g.Expect(got.err).NotTo(gomega.HaveOccurred())
				g.Expect(got.status).To(gomega.Equal(http.StatusOK))
				g.Expect(got.body).To(gomega.Equal(want))
				g.Expect(totalArrived(backends)).To(gomega.Equal(1))
			})
		}
	}
}

// noticeTime is the longest time that a router may take to notice a silence, on a
// slow machine.
const noticeTime = 20 * time.Second

// afterSilence is how long servers stay silent after the router noticed it. A
// router that gives attempts up without a successor has done so by then.
const afterSilence = 1800 * time.Millisecond

// Guards against requests that wait for a server that stays silent although
// another one has room for them.
func TestAttemptAtSilentServerIsReplaced(t *testing.T) {
	for _, kind := range []relay.Kind{relay.Idempotent, relay.Stream} {
		t.Run(kind.String(), func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			silent := make(chan string, 1)
			handler := func(w http.ResponseWriter, req *http.Request) {
				select {
				case silent <- req.Header.Get(instanceHeader): // The first attempt.
					w.Header().Set(signedHeader, "yes")
					if kind == relay.Stream {
						_, _ = io.WriteString(w, "id: 1\ndata: 1\n\n")
						_ = http.NewResponseController(w).Flush()
					}
					<-req.Context().Done()
				default:
					if kind == relay.Stream {
						streamEvents(1, 4, true)(w, req)
						return
					}
					respond("ok")(w, req)
				}
			}
			r, backends := startNode(t, newPlan(newQuickClass(kind)), handler, handler)
			got := r.call(t, http.MethodPost, "/a/x", "")
			g.Expect(got.err).NotTo(gomega.HaveOccurred())
			g.Expect(got.body).To(gomega.Equal(map[relay.Kind]string{relay.Idempotent: "ok", relay.Stream: fourEvents}[kind]))
			for _, b := range backends {
				g.Expect(b.arrived.Load()).To(gomega.Equal(int32(1)))
			}
			g.Eventually(r.logged("silent attempt replaced", 1), noticeTime).Should(gomega.BeTrue())
		})
	}
}

// Guards against streams that are cut at the moment when the budget has no retry
// for them, although the next requests of callers bring one.
func TestBegunStreamWaitsForARetry(t *testing.T) {
	g := gomega.NewWithT(t)
	const requestsPerRetry = 8 // By half of the ratio, as the window before had none.
	class := newQuickClass(relay.Stream)
	class.MaxAttempts = 5
	other := newClass("b", relay.Idempotent, 1)
	interrupted := make(chan struct{})
	handler := func(w http.ResponseWriter, req *http.Request) {
		switch {
		case req.URL.Path == "/b/x":
			respond("ok")(w, req)
		case req.Header.Get(lastEventHeader) == "":
			streamEvents(1, 2, false)(w, req)
		case req.Header.Get(lastEventHeader) == "2":
			close(interrupted)
			streamEvents(1, 3, false)(w, req)
		default:
			streamEvents(1, 4, true)(w, req)
		}
	}
	r, _ := startConfiguredNode(t, func(c *relay.Config) { c.Bounds.RetryRatio = 2.0 / requestsPerRetry },
		newPlan(class, other), handler, handler)
	end := make(chan reply, 1)
	go func() { end <- r.call(t, http.MethodPost, "/a/x", "") }()
	<-interrupted // The first retry, which is always allowed, is used up.
	time.Sleep(200 * time.Millisecond)
	for range 3 * requestsPerRetry {
		g.Expect(r.call(t, http.MethodGet, "/b/x", "").body).To(gomega.Equal("ok"))
	}
	got := <-end
	g.Expect(got.err).NotTo(gomega.HaveOccurred())
	g.Expect(got.body).To(gomega.Equal(fourEvents))
}

// Guards against streams whose server is silent after the first event, and that
// wait until the limit for that event is over: it may be far longer than the limit
// for later ones.
func TestSilenceAfterTheFirstEventIsNoticedInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	servers := &silentServers{goOn: make(chan struct{})}
	class := newQuickClass(relay.Stream)
	class.TargetLatency = time.Minute
	r, _ := startNode(t, newPlan(class), servers.pauseInStream)
	goOn := sync.OnceFunc(func() { close(servers.goOn) })
	t.Cleanup(goOn)
	end := make(chan reply, 1)
	go func() { end <- r.call(t, http.MethodPost, "/a/x", "") }()
	g.Eventually(r.logged("server silent", 1), noticeTime).Should(gomega.BeTrue())
	goOn()
	got := <-end
	g.Expect(got.err).NotTo(gomega.HaveOccurred())
	g.Expect(got.body).To(gomega.Equal(fourEvents))
}

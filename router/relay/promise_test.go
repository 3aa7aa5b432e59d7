package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/relay"
)

// promises are the statuses that tell a caller that its request has not run and never will. The test
// codec takes one more, 421, for a statement of its own, as the platform's does.
var promises = []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// runAndAnswer answers with a status, a signature and a body, as a server does that fails while it runs
// the request.
func runAndAnswer(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(signedHeader, "yes")
		w.Header().Set("Retry-After", "0.1")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "booked, without a receipt")
	}
}

// runAndLeave is runAndAnswer of a server that says that it leaves.
func runAndLeave(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set(leavingHeader, "1")
		runAndAnswer(status)(w, req)
	}
}

// runInChunks is runAndAnswer with a body that is sent in pieces.
func runInChunks(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		runAndAnswer(status)(w, req)
		_ = http.NewResponseController(w).Flush()
		_, _ = io.WriteString(w, "x")
	}
}

// runLate is runAndAnswer after a pause.
func runLate(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		time.Sleep(50 * time.Millisecond)
		runAndAnswer(status)(w, req)
	}
}

// expectNoPromise checks that a caller is told nothing about whether its request has run, by the
// router itself.
func expectNoPromise(g gomega.Gomega, got reply) {
	g.Expect(got.err).NotTo(gomega.HaveOccurred())
	g.Expect(got.status).To(gomega.Equal(http.StatusBadGateway))
	g.Expect(got.header).NotTo(gomega.HaveKey(signedHeader))
	g.Expect(got.header).NotTo(gomega.HaveKey("Retry-After"))
	g.Expect(got.header).NotTo(gomega.HaveKey("Handover-Outcome"))
	g.Expect(got.body).To(gomega.BeEmpty())
}

// Guards against a promise that a request has not run for one that a server ran and failed with such a
// status (review/12): its caller repeats it and it runs twice. Here it is the only answer.
func TestPromiseOfAServerThatRanIsNotPassedOn(t *testing.T) {
	t.Parallel()
	servers := map[string]func(int) http.HandlerFunc{
		"whole": runAndAnswer, "chunks": runInChunks, "late": runLate, "leaving": runAndLeave,
	}
	for name, server := range servers {
		for _, status := range promises {
			for _, kind := range []relay.Kind{relay.NonIdempotent, relay.Idempotent, relay.Stream} {
				t.Run(fmt.Sprint(name, "/", status, "/", kind), func(t *testing.T) {
					t.Parallel()
					g := gomega.NewWithT(t)
					r, backends := startNode(t, newPlan(newClass("a", kind, 1)), server(status))
					expectNoPromise(g, r.call(t, http.MethodPost, "/a/x", ""))
					g.Expect(totalArrived(backends)).To(gomega.Equal(1))
				})
			}
		}
	}
}

// Guards against the same promise for a request of a team, and with a true one beside: another server turned the
// request away before.
func TestPromiseIsNotPassedOnToATeam(t *testing.T) {
	t.Parallel()
	for _, status := range promises {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			plan := newPlan(newClass("a", relay.NonIdempotent, 3))
			plan.Teams = []relay.Team{{Name: "red", Keys: []string{"k1"}}}
			r, backends := startNode(t, plan, rejectRequest, rejectRequest, runAndAnswer(status))
			expectNoPromise(g, r.call(t, http.MethodPost, "/a/x", "k1"))
			g.Expect(backends[2].arrived.Load()).To(gomega.BeEquivalentTo(1))
		})
	}
}

// Guards against the same promise after an attempt at another server, which failed, or rejected the
// request truly, or was rejected after the run: whatever the order, the request may have run.
func TestPromiseAfterOtherAttemptsIsNotPassedOn(t *testing.T) {
	t.Parallel()
	others := map[string]http.HandlerFunc{"broken": closeConnection, "rejecting": rejectRequest}
	for name, other := range others {
		for _, status := range promises {
			for _, kind := range []relay.Kind{relay.NonIdempotent, relay.Idempotent} {
				t.Run(fmt.Sprint(name, "/", status, "/", kind), func(t *testing.T) {
					t.Parallel()
					g := gomega.NewWithT(t)
					r, _ := startNode(t, newPlan(newClass("a", kind, 2)), other, runAndAnswer(status))
					for range 6 {
						expectNoPromise(g, r.call(t, http.MethodPost, "/a/x", ""))
					}
				})
			}
		}
	}
}

// Guards against the failure of a server that is lost to its caller, as another one answered later with a
// promise that can't be passed on.
func TestFailureOfAServerIsPassedOnInPlaceOfAPromise(t *testing.T) {
	t.Parallel()
	for _, status := range promises {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			r, _ := startNode(t, newPlan(newClass("a", relay.Idempotent, 2)), runAndAnswer(http.StatusInternalServerError), runAndAnswer(status))
			for range 6 {
				got := r.call(t, http.MethodPost, "/a/x", "")
				g.Expect(got.status).To(gomega.Equal(http.StatusInternalServerError))
				g.Expect(got.header.Get(signedHeader)).To(gomega.Equal("yes"))
			}
		})
	}
}

// Guards against callers of idempotent requests that get a failure while another server would have
// answered, as a server that ran the request says with a promise that it is overloaded.
func TestIdempotentRequestIsRetriedAfterAPromise(t *testing.T) {
	t.Parallel()
	for _, status := range promises {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			r, _ := startNode(t, newPlan(newClass("a", relay.Idempotent, 2)), runAndAnswer(status), respond("ok"))
			for range 6 {
				g.Expect(r.call(t, http.MethodGet, "/a/x", "").body).To(gomega.Equal("ok"))
			}
		})
	}
}

// Guards against a promise that becomes a part of a stream that has begun, or its end.
func TestPromiseAfterAStreamBeganCutsIt(t *testing.T) {
	t.Parallel()
	for _, status := range promises {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			stream := newClass("a", relay.Stream, 2)
			stream.Resumable = true
			server := func(w http.ResponseWriter, req *http.Request) {
				if req.Header.Get(lastEventHeader) == "" {
					streamEvents(1, 3, false)(w, req)
					return
				}
				runAndAnswer(status)(w, req)
			}
			r, _ := startNode(t, newPlan(stream), server, server)
			got := r.call(t, http.MethodPost, "/a/x", "")
			g.Expect(got.err).To(gomega.HaveOccurred())
			g.Expect(got.body).To(gomega.Equal("id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"))
		})
	}
}

// Guards against the same promise on the way through another router, which has the request run.
func TestPromiseIsNotPassedOnThroughAnotherRouter(t *testing.T) {
	t.Parallel()
	for _, status := range promises {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			p := startPair(t, newClass("a", relay.NonIdempotent, 1), runAndAnswer(status))
			expectNoPromise(g, p.cut.call(t, http.MethodPost, "/a/x", ""))
			g.Expect(p.sound.counter(t, "handovers.taken")).To(gomega.BeNumerically(">", 0))
		})
	}
}

// Guards against the same promise in a planned stop, while the server works on the request.
func TestPromiseIsNotPassedOnInAStop(t *testing.T) {
	g := gomega.NewWithT(t)
	begun, stopped := make(chan struct{}), make(chan struct{})
	r, _ := startNode(t, newPlan(newClass("a", relay.NonIdempotent, 1)), func(w http.ResponseWriter, req *http.Request) {
		close(begun)
		<-stopped
		runAndAnswer(http.StatusServiceUnavailable)(w, req)
	})
	replies := make(chan reply, 1)
	go func() { replies <- r.call(t, http.MethodPost, "/a/x", "") }()
	<-begun
	r.terminate(t)
	r.waitUntil(t, r.logged("router stopping", 1))
	close(stopped)
	expectNoPromise(g, <-replies)
	<-r.ended
}

// Guards against true statements that no longer reach callers as a promise, with the time after which
// they may come back, and against a success that is taken for one.
func TestStatementThatARequestHasNotRunReachesItsCaller(t *testing.T) {
	t.Parallel()
	for _, status := range append([]int{http.StatusBadRequest, http.StatusMisdirectedRequest}, promises...) {
		for _, kind := range []relay.Kind{relay.NonIdempotent, relay.Idempotent, relay.Stream} {
			t.Run(fmt.Sprint(status, "/", kind), func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				r, _ := startNode(t, newPlan(newClass("a", kind, 1)), func(w http.ResponseWriter, _ *http.Request) {
					if status != http.StatusMisdirectedRequest { // It states that by itself.
						w.Header().Set(notExecutedHeader, "yes")
					}
					w.WriteHeader(status)
				})
				got := r.call(t, http.MethodPost, "/a/x", "")
				g.Expect(got.status).To(gomega.Equal(http.StatusServiceUnavailable))
				g.Expect(got.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
			})
		}
	}
	t.Run("success", func(t *testing.T) {
		t.Parallel()
		g := gomega.NewWithT(t)
		r, _ := startNode(t, newPlan(newClass("a", relay.NonIdempotent, 1)), func(w http.ResponseWriter, req *http.Request) {
			w.Header().Set(notExecutedHeader, "yes")
			respond("ok")(w, req)
		})
		g.Expect(r.call(t, http.MethodPost, "/a/x", "").body).To(gomega.Equal("ok"))
	})
}

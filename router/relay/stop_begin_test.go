package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/relay"
)

// lingerEnd is when a stopping node refuses new requests, and some time more.
const lingerEnd = gracePeriod * 2 / 5

// endUpload writes the rest of a body that beginUpload began with one byte of two.
func (c *callerConn) endUpload() {
	c.t.Helper()
	_, err := fmt.Fprint(c, "}")
	gomega.NewWithT(c.t).Expect(err).NotTo(gomega.HaveOccurred())
}

// expectRefusal reads the refusal of a request that did not run.
func (c *callerConn) expectRefusal() {
	c.t.Helper()
	header := c.expect(http.StatusServiceUnavailable, "", true)
	gomega.NewWithT(c.t).Expect(header.Get("Retry-After")).NotTo(gomega.BeEmpty())
}

// Guards against requests that a stopping node passes on when their uploads end late, and cuts off
// at the end of the grace period.
func TestUploadThatMayNotEndBeforeTheStopIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	r, backends := startNode(t, newPlan(newClass("a", relay.Stream, 1)), func(_ http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		<-req.Context().Done() // It would take far longer than the grace period.
	})
	conn := r.open(t)
	conn.beginUpload("Content-Length: 2", "{")
	time.Sleep(50 * time.Millisecond) // The node reads the body.
	r.terminate(t)
	time.Sleep(lingerEnd)
	conn.endUpload()
	conn.expectRefusal()
	<-r.ended
	g.Expect(totalArrived(backends)).To(gomega.BeZero())
}

// Guards against uploads that are refused although requests of their class are known to be short,
// and against those that are passed on as most requests of their class are short.
func TestLateUploadRunsIfItsClassIsKnownToBeShort(t *testing.T) {
	const (
		grace   = 2 * gracePeriod
		usual   = 10 // Requests of each class before the stop.
		longest = grace / 4
	)
	g := gomega.NewWithT(t)
	configure := func(c *relay.Config) { c.Bounds.GracePeriod = grace }
	plan := newPlan(newClass("short", relay.NonIdempotent, 1), newClass("mixed", relay.NonIdempotent, 1))
	r, backends := startConfiguredNode(t, configure, plan, func(w http.ResponseWriter, req *http.Request) {
		if strings.HasSuffix(req.URL.Path, "/long") {
			time.Sleep(longest)
		}
		respond("ok")(w, req)
	})
	var calls sync.WaitGroup
	for i := range usual {
		path := "x"
		if i == 0 {
			path = "long"
		}
		calls.Go(func() { r.call(t, http.MethodPost, "/mixed/"+path, "") })
		r.call(t, http.MethodPost, "/short/x", "")
	}
	calls.Wait()
	short, mixed := r.open(t), r.open(t)
	short.beginUploadOf("short", time.Minute, "Content-Length: 2", "{")
	mixed.beginUploadOf("mixed", time.Minute, "Content-Length: 2", "{")
	time.Sleep(50 * time.Millisecond) // The node reads the bodies.
	r.terminate(t)
	time.Sleep(grace * 2 / 5)
	short.endUpload()
	mixed.endUpload()
	short.expect(http.StatusOK, "ok", true)
	mixed.expectRefusal()
	<-r.ended
	g.Expect(totalArrived(backends)).To(gomega.Equal(2*usual + 1))
}

// Guards against a request that a stopping node begins at a second server, where it can't end, after
// the first one said that it has not run.
func TestRejectedRequestIsNotBegunAgainLateInAStop(t *testing.T) {
	g := gomega.NewWithT(t)
	begun, release := make(chan struct{}, 2), make(chan struct{})
	end := sync.OnceFunc(func() { close(release) })
	full := func(w http.ResponseWriter, _ *http.Request) {
		begun <- struct{}{}
		<-release
		w.Header().Set(notExecutedHeader, "full")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	r, backends := startNode(t, newPlan(newClass("a", relay.NonIdempotent, 3)), full, full)
	t.Cleanup(end)
	conn := r.open(t)
	conn.send("/a/x")
	<-begun
	r.terminate(t)
	time.Sleep(lingerEnd)
	end()
	conn.expectRefusal()
	<-r.ended
	g.Expect(totalArrived(backends)).To(gomega.Equal(1))
}

// Guards against a request that waits for a place at a server until the stop leaves no time for it,
// and against one that is held until then although it can't be passed on.
func TestRequestThatWaitsForAPlaceIsRefusedOnceTheStopLeavesNoTime(t *testing.T) {
	g := gomega.NewWithT(t)
	begun, release := make(chan struct{}, backendSlots), make(chan struct{})
	end := sync.OnceFunc(func() { close(release) })
	r, backends := startNode(t, newPlan(newClass("a", relay.NonIdempotent, 1)), func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set(brittleHeader, "1")
		if strings.HasSuffix(req.URL.Path, "/slow") {
			begun <- struct{}{}
			<-release
		}
		respond("ok")(w, req)
	})
	t.Cleanup(end)
	r.call(t, http.MethodPost, "/a/x", "")
	var running []*callerConn
	for range backendSlots {
		conn := r.open(t)
		conn.send("/a/slow")
		<-begun
		running = append(running, conn)
	}
	waiting := r.open(t)
	waiting.send("/a/x")
	time.Sleep(50 * time.Millisecond) // It waits.
	r.terminate(t)
	waiting.expectRefusal()
	end()
	for _, conn := range running {
		conn.expect(http.StatusOK, "ok", true)
	}
	<-r.ended
	g.Expect(totalArrived(backends)).To(gomega.Equal(1 + backendSlots))
}

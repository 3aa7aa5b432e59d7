package relay_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/relay"
)

// beginUpload writes the head of a request and a part of its body.
func (c *callerConn) beginUpload(framing, part string) {
	c.t.Helper()
	c.beginUploadOf("a", time.Minute, framing, part)
}

// beginUploadOf is beginUpload for a request of a class with a timeout.
func (c *callerConn) beginUploadOf(class string, timeout time.Duration, framing, part string) {
	c.t.Helper()
	_, err := fmt.Fprintf(c, "POST /%s/x HTTP/1.1\r\nHost: h.example\r\n%s: attempt-1\r\n%s: %d\r\n%s\r\n\r\n%s",
		class, attemptHeader, timeoutHeader, timeout.Milliseconds(), framing, part)
	gomega.NewWithT(c.t).Expect(err).NotTo(gomega.HaveOccurred())
}

// Guards against uploads that a stopping node breaks off as if the caller were at fault,
// or without an answer: they have not run, and another router can take them.
func TestUploadsThatAStopEndsAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	r, backends := startNode(t, newPlan(newClass("a", relay.NonIdempotent, 1)), respond("ok"))
	known, chunked, kept, inTime := r.open(t), r.open(t), r.open(t), r.open(t)
	kept.send("/a/x")
	kept.expect(http.StatusOK, "ok", false)
	known.beginUpload("Content-Length: 100", "{")
	chunked.beginUpload("Transfer-Encoding: chunked", "1\r\n{\r\n")
	kept.beginUpload("Content-Length: 100", "")
	inTime.beginUploadOf("a", gracePeriod*4/5, "Content-Length: 2", "{")
	time.Sleep(50 * time.Millisecond) // The node reads the bodies.
	r.terminate(t)
	time.Sleep(gracePeriod / 2) // After the listener was closed.
	_, err := fmt.Fprint(inTime, "}")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	inTime.expect(http.StatusOK, "ok", true)
	for _, conn := range []*callerConn{known, chunked, kept} {
		header := conn.expect(http.StatusServiceUnavailable, "", true)
		g.Expect(header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	}
	<-r.ended
	g.Expect(totalArrived(backends)).To(gomega.Equal(2))
}

// Guards against a malformed upload that its caller is asked to repeat.
func TestMalformedUploadIsRejected(t *testing.T) {
	r, _ := startNode(t, newPlan(newClass("a", relay.NonIdempotent, 1)), respond("ok"))
	conn := r.open(t)
	conn.beginUpload("Transfer-Encoding: chunked", "none\r\n")
	conn.expect(http.StatusBadRequest, "", true)
}

package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/relay"
)

// crashOnBadBody responds, or ends the server if the body has the text "crash": its
// listener closes and the connection breaks.
func crashOnBadBody(backends *[]*backend) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(req.Body)
		if err == nil && !strings.Contains(string(body), "crash") {
			respond("sound")(w, req)
			return
		}
		for _, b := range *backends {
			if b.id == req.Header.Get(instanceHeader) {
				_ = b.server.Listener.Close()
			}
		}
		panic(http.ErrAbortHandler)
	}
}

// callUntilQuarantined sends copies of a request, whose body comes in pieces, until the node
// refuses it for a minute or noticeTime is over.
func (r *testNode) callUntilQuarantined(t *testing.T, pieces ...string) reply {
	t.Helper()
	var got reply
	for deadline := time.Now().Add(noticeTime); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		var body []io.Reader
		for _, piece := range pieces {
			body = append(body, strings.NewReader(piece))
		}
		got = r.callWithBody(t, http.MethodPost, "/a/x", "", io.MultiReader(body...))
		if seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); err == nil && seconds >= 60 {
			break
		}
	}
	return got
}

// Guards against a request of a plain service that its callers and its router take from one
// server to the next while each of them crashes. The body comes in other frames each time.
func TestRequestThatCrashesServersIsRefused(t *testing.T) {
	t.Parallel()
	for kind, attempts := range map[relay.Kind]int{relay.NonIdempotent: 1, relay.Idempotent: 3} {
		t.Run(fmt.Sprintf("%d attempts", attempts), func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			backends := new([]*backend)
			handlers := make([]http.HandlerFunc, 8)
			for i := range handlers {
				handlers[i] = crashOnBadBody(backends)
			}
			r, started := startNode(t, newPlan(newClass("a", kind, attempts)), handlers...)
			*backends = started
			g.Expect(r.callUntilQuarantined(t, "cra", "sh").status).To(gomega.Equal(http.StatusServiceUnavailable))
			g.Expect(totalArrived(started)).To(gomega.Equal(3))
			g.Expect(r.callWithBody(t, http.MethodPost, "/a/x", "", strings.NewReader("crash")).status).
				To(gomega.Equal(http.StatusServiceUnavailable))
			g.Expect(r.callWithBody(t, http.MethodPost, "/a/x", "", strings.NewReader("other")).status).To(gomega.Equal(http.StatusOK))
			g.Expect(totalArrived(started)).To(gomega.Equal(4))
			g.Eventually(r.logged("request quarantined", 1), noticeTime).Should(gomega.BeTrue())
			verdict, ok := r.stateDump(t)["Quarantine"].([]any)[0].(map[string]any)
			g.Expect(ok).To(gomega.BeTrue())
			g.Expect(r.lift(t, fmt.Sprint(verdict["Request"]))).To(gomega.Equal("1 lifted\n"))
			g.Expect(r.callWithBody(t, http.MethodPost, "/a/x", "", strings.NewReader("crash")).status).
				To(gomega.Equal(http.StatusBadGateway), "an operator lifted the verdict")
		})
	}
}

// Guards against a sound request that is kept out for the same content in another path,
// or of another method.
func TestOtherRequestsWithTheSameBodyAreNotRefused(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	backends := new([]*backend)
	handlers := make([]http.HandlerFunc, 8)
	for i := range handlers {
		handlers[i] = func(w http.ResponseWriter, req *http.Request) {
			if req.URL.Path == "/a/x" && req.Method == http.MethodPost {
				_, _ = io.Copy(io.Discard, req.Body)
				req.Body = io.NopCloser(strings.NewReader("crash"))
			}
			crashOnBadBody(backends)(w, req)
		}
	}
	r, started := startNode(t, newPlan(newClass("a", relay.NonIdempotent, 1)), handlers...)
	*backends = started
	g.Expect(r.callUntilQuarantined(t, "b").status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(r.callWithBody(t, http.MethodPost, "/a/y", "", strings.NewReader("b")).status).To(gomega.Equal(http.StatusOK))
	g.Expect(r.callWithBody(t, http.MethodPut, "/a/x", "", strings.NewReader("b")).status).To(gomega.Equal(http.StatusOK))
}

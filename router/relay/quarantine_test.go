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

// badPart is the part that crashes the engines of these tests, in the form of the parts
// header.
const badPart = "bad"

// crashOnBadPart streams events, or ends the server if the prompt has the bad part: its
// listener closes and the connection breaks.
func crashOnBadPart(backends *[]*backend) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if !strings.Contains(req.Header.Get(partsHeader), badPart) {
			streamEvents(1, 3, true)(w, req)
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

// startEngines starts a node with n engines that the bad part crashes.
func startEngines(t *testing.T, n int, class relay.Class) (*testNode, []*backend) {
	t.Helper()
	backends := new([]*backend)
	handlers := make([]http.HandlerFunc, n)
	for i := range handlers {
		handlers[i] = crashOnBadPart(backends)
	}
	plan := newPlan(class)
	plan.Services = []relay.Service{{Name: "s", Slots: 4, TokensPerEvent: 1}}
	r, started := startNode(t, plan, handlers...)
	*backends = started
	return r, started
}

// callWithParts sends a request with the parts of a prompt. The last one, and the body, are
// its own.
func (r *testNode) callWithParts(t *testing.T, session int, shared ...string) reply {
	t.Helper()
	own := fmt.Sprintf("e%x", session)
	parts := strings.Join(append(shared, own), ",")
	return r.callWith(t, http.MethodPost, "/a/x", "", strings.NewReader(own), http.Header{partsHeader: {parts}})
}

// lift lifts the verdicts on a request or part as an operator does, and returns the answer.
func (r *testNode) lift(t *testing.T, name string) string {
	t.Helper()
	g := gomega.NewWithT(t)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodDelete, "http://"+r.operatorAddress+"/quarantine/"+name, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return string(answer)
}

// Guards against a prompt part that crashes one engine after the other, and against
// sound prompts that are kept out with it.
func TestPromptPartThatCrashesEnginesIsRefused(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	const engines = 9
	r, backends := startEngines(t, engines, newClass("a", relay.Stream, 1))
	deadline := time.Now().Add(noticeTime)
	var got reply
	for i := 0; time.Now().Before(deadline); i++ {
		g.Expect(r.callWithParts(t, 1000+i, "c0", "c1").status).To(gomega.Equal(http.StatusOK))
		if got = r.callWithParts(t, i, "c0", badPart, "c1"); got.status == http.StatusServiceUnavailable {
			break
		}
		g.Expect(got.status).To(gomega.Equal(http.StatusBadGateway))
		time.Sleep(350 * time.Millisecond)
	}
	g.Expect(got.status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(strconv.ParseFloat(got.header.Get("Retry-After"), 64)).To(gomega.BeNumerically(">", 60))
	arrived := totalArrived(backends)
	for i := range 5 {
		g.Expect(r.callWithParts(t, 100+i, "c1", badPart).status).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(r.callWithParts(t, 200+i, "c0", "c1").status).To(gomega.Equal(http.StatusOK))
	}
	g.Expect(totalArrived(backends)).To(gomega.Equal(arrived+5), "refused requests reach no engine")
	g.Expect(r.stateDump(t)["Quarantine"]).To(gomega.HaveLen(1))
	g.Eventually(r.logged("backend server crashed", 4), noticeTime).Should(gomega.BeTrue())
	g.Eventually(r.logged("prompt part quarantined", 1), noticeTime).Should(gomega.BeTrue())
	g.Expect(r.metrics(t)).To(gomega.ContainSubstring("requests.quarantined"))

	g.Expect(r.lift(t, badPart)).To(gomega.Equal("1 lifted\n"))
	g.Expect(r.callWithParts(t, 300, "c1", badPart).status).To(gomega.Equal(http.StatusBadGateway), "an operator lifted the verdict")
}

// Guards against requests that find out one after the other that a server has ended.
func TestCrashedServerGetsNoFurtherAttempts(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	r, backends := startEngines(t, 2, newClass("a", relay.Stream, 1))
	g.Expect(r.callWithParts(t, 1, "c0", badPart).status).To(gomega.Equal(http.StatusBadGateway))
	g.Eventually(r.logged("backend server crashed", 1), noticeTime).Should(gomega.BeTrue())
	for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		g.Expect(r.callWithParts(t, 2, "c0", "c1").status).To(gomega.Equal(http.StatusOK))
	}
	g.Expect(r.metrics(t)).To(gomega.MatchRegexp(`counter service\.s\.unsent\s+count:\s+0\s`))
	g.Expect(totalArrived(backends)).To(gomega.BeNumerically(">", 20))
}

// Guards against a stream without a length or chunks whose server ends before its first
// event, and which its caller takes for complete and empty.
func TestUnframedStreamWithoutEventsIsNotComplete(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	r, _ := startNode(t, newPlan(newClass("a", relay.Stream, 1)), func(w http.ResponseWriter, _ *http.Request) {
		conn, buffer, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\n" + attemptHeader + ": attempt-1\r\n" + signedHeader + ": yes\r\n\r\n")
		_ = buffer.Flush()
		_ = conn.Close()
	})
	g.Expect(r.call(t, http.MethodPost, "/a/x", "").status).To(gomega.Equal(http.StatusBadGateway))
}

// Guards against a request that its router takes from one engine to the next while each
// of them crashes.
func TestRouterStopsRepeatingARequestThatCrashesEngines(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	class := newClass("a", relay.Stream, 6)
	class.Resumable = true
	r, backends := startEngines(t, 6, class)
	g.Expect(r.callWithParts(t, 1, "c0", badPart).status).To(gomega.Equal(http.StatusBadGateway))
	g.Expect(totalArrived(backends)).To(gomega.Equal(2))
}

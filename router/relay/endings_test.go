package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/relay"
)

// totalArrived returns the number of requests that arrived at all backends.
func totalArrived(backends []*backend) int {
	total := 0
	for _, b := range backends {
		total += int(b.arrived.Load())
	}
	return total
}

// Guards against streams that are cut because their caller reads slowly: while
// the router waits for the caller, the server's silence is not its own.
func TestSlowCallerDoesNotEndItsAttempt(t *testing.T) {
	g := gomega.NewWithT(t)
	const (
		events    = 32
		eventSize = 1 << 20

		// callerPause is longer than the pause that the class tolerates.
		callerPause = 1500 * time.Millisecond
	)
	stream := newClass("a", relay.Stream, 2)
	stream.Resumable = true
	stream.TargetGap = time.Millisecond
	sendAll := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(signedHeader, "yes")
		for i := range events {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, strings.Repeat("x", eventSize-64))
		}
	}
	r, backends := startNode(t, newPlan(stream), sendAll, sendAll)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+r.callerAddress+"/a/x", nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	request.Host = "h.example"
	request.Header.Set(attemptHeader, "attempt-1")
	request.Header.Set(timeoutHeader, "60000")
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	time.Sleep(callerPause)
	body, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(strings.Count(string(body), "id: ")).To(gomega.Equal(events))
	g.Expect(totalArrived(backends)).To(gomega.Equal(1))
}

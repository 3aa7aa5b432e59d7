package relay_test

import (
	"net/http"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/relay"
)

// Guards against responses that are cut because their request took longer than
// the time for writing a response, which began when the request arrived. It takes
// two minutes and runs with SNIPETALLY_MEASURE set only.
func TestLongRequestGetsItsResponse(t *testing.T) {
	if os.Getenv("SNIPETALLY_MEASURE") == "" {
		t.Skip("takes two minutes")
	}
	g := gomega.NewWithT(t)
	const (
		serviceTime   = 122 * time.Second
		callerTimeout = 170 * time.Second
	)
	class := newClass("a", relay.NonIdempotent, 1)
	class.Timeout = 3 * time.Minute
	r, _ := startNode(t, newPlan(class), func(w http.ResponseWriter, req *http.Request) {
		time.Sleep(serviceTime)
		respond("ok")(w, req)
	})
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+r.callerAddress+"/a/x", nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	request.Host = "h.example"
	request.Header.Set(attemptHeader, "attempt-1")
	request.Header.Set(timeoutHeader, strconv.FormatInt(callerTimeout.Milliseconds(), 10))
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	g.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
}

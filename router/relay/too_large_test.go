package relay_test

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/onsi/gomega"

	"snipetally.example/router/relay"
)

// Guards against prompts that no engine has the memory for and that three engines each have to reject
// (review/13): brittle ones fall over, and the streams there are lost.
func TestPromptThatNoEngineHasMemoryForIsNotSent(t *testing.T) {
	g := gomega.NewWithT(t)
	const memoryTokens = 1000
	plan := newPlan(newClass("a", relay.Stream, 1))
	plan.Services[0].Slots, plan.Services[0].CacheTokens = 4, memoryTokens
	full := func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set(brittleHeader, "0")
		if tokens, _ := strconv.Atoi(req.Header.Get(promptHeader)); tokens > memoryTokens {
			rejectRequest(w, req)
			return
		}
		streamEvents(1, 3, true)(w, req)
	}
	r, backends := startNode(t, plan, full, full, full)
	call := func(tokens int) reply {
		return r.callWith(t, http.MethodPost, "/a/x", "", nil, http.Header{promptHeader: {strconv.Itoa(tokens)}})
	}
	g.Expect(call(memoryTokens).status).To(gomega.Equal(http.StatusOK))
	arrived := totalArrived(backends)
	for range 8 {
		got := call(memoryTokens + 1)
		g.Expect(got.status).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(strconv.ParseFloat(got.header.Get("Retry-After"), 64)).To(gomega.BeNumerically(">", 1))
	}
	g.Expect(totalArrived(backends)).To(gomega.Equal(arrived))
	g.Expect(call(1).status).To(gomega.Equal(http.StatusOK))
}

// Guards against a request that may not fit with its response and is sent to one engine after the other.
func TestRequestThatMayNotFitIsSentOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	plan := newPlan(newClass("a", relay.Stream, 1))
	plan.Services[0].Slots, plan.Services[0].CacheTokens = 4, 1000
	r, backends := startNode(t, plan, rejectRequest, rejectRequest, rejectRequest)
	header := http.Header{promptHeader: {"900"}, outputHeader: {"200"}}
	g.Expect(r.callWith(t, http.MethodPost, "/a/x", "", nil, header).status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(totalArrived(backends)).To(gomega.Equal(1))
	header.Set(outputHeader, "100")
	g.Expect(r.callWith(t, http.MethodPost, "/a/x", "", nil, header).status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(totalArrived(backends)).To(gomega.BeNumerically(">", 2))
}

package caller_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"snipetally.example/router/internal/attempt"
	"snipetally.example/router/internal/caller"
)

func TestCaller(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1
	RunSpecs(t, "caller", suite, reporter)
}

const chat = `{"model":"model","messages":[{"role":"user","content":"hello"}]}`

// send sends a request with the team's key, unless header sets another one.
func send(h *harness, method, path, body string, header http.Header) (*http.Response, string) {
	GinkgoHelper()
	request, err := http.NewRequest(method, "http://router"+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer key")
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := h.client.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response, string(data)
}

// decodeRefusal returns the code and the run field of a refusal.
func decodeRefusal(body string) (caller.Code, caller.Run) {
	GinkgoHelper()
	var refusal struct {
		Error struct {
			Message string      `json:"message"`
			Type    string      `json:"type"`
			Code    caller.Code `json:"code"`
			Run     caller.Run  `json:"run"`
		} `json:"error"`
	}
	Expect(json.Unmarshal([]byte(body), &refusal)).To(Succeed())
	Expect(refusal.Error.Message).NotTo(BeEmpty())
	Expect(refusal.Error.Type).NotTo(BeEmpty())
	return refusal.Error.Code, refusal.Error.Run
}

var _ = Describe("a request that can't be run", func() {
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		DeferCleanup(h.close)
	})

	DescribeTable("is refused with its own code and not run",
		func(method, path, body string, header http.Header, status int, code caller.Code) {
			response, content := send(h, method, path, body, header)
			Expect(response.StatusCode).To(Equal(status))
			gotCode, run := decodeRefusal(content)
			Expect(gotCode).To(Equal(code))
			Expect(run).To(Equal(caller.RunNo))
			Expect(h.runner.attempts()).To(BeZero())
		},
		Entry("bad JSON", "POST", "/v1/chat/completions", `{"model":`, nil, 400, caller.CodeSyntax),
		Entry("empty body", "POST", "/v1/chat/completions", ``, nil, 400, caller.CodeSyntax),
		Entry("a list for a body", "POST", "/v1/chat/completions", `[]`, nil, 400, caller.CodeType),
		Entry("wrong type of model", "POST", "/v1/chat/completions", `{"model":1,"messages":[{}]}`, nil, 400, caller.CodeType),
		Entry("wrong type of stream", "POST", "/v1/chat/completions", `{"model":"model","stream":"yes","messages":[{}]}`, nil, 400, caller.CodeType),
		Entry("wrong type of a limit", "POST", "/v1/completions", `{"model":"model","prompt":"a","max_tokens":1.5}`, nil, 400, caller.CodeType),
		Entry("negative limit", "POST", "/v1/completions", `{"model":"model","prompt":"a","max_tokens":-1}`, nil, 400, caller.CodeType),
		Entry("no model", "POST", "/v1/chat/completions", `{"messages":[{}]}`, nil, 400, caller.CodeType),
		Entry("no messages", "POST", "/v1/chat/completions", `{"model":"model"}`, nil, 400, caller.CodeType),
		Entry("no prompt", "POST", "/v1/completions", `{"model":"model","prompt":null}`, nil, 400, caller.CodeType),
		Entry("an unknown class", "POST", "/v1/chat/completions", chat, http.Header{"Class": {"nope"}}, 403, caller.CodeClass),
		Entry("a model without a server", "POST", "/v1/completions", `{"model":"none","prompt":"a"}`, nil, 404, caller.CodeModel),
		Entry("a class that the contract does not allow", "POST", "/v1/chat/completions", chat, http.Header{"Class": {"other"}}, 403, caller.CodeClass),
		Entry("bad key", "POST", "/v1/chat/completions", chat, http.Header{"Authorization": {"Bearer nope"}}, 401, caller.CodeKey),
		Entry("no key", "POST", "/v1/chat/completions", chat, http.Header{"Authorization": {""}}, 401, caller.CodeKey),
		Entry("another scheme", "GET", "/v1/models", "", http.Header{"Authorization": {"Basic a2V5"}}, 401, caller.CodeKey),
		Entry("oversized body", "POST", "/v1/chat/completions", strings.Repeat("x", bodyLimit+1), nil, 413, caller.CodeLarge),
		Entry("unknown path", "GET", "/v2/models", "", nil, 404, caller.CodePath),
		Entry("wrong method", "GET", "/v1/chat/completions", "", nil, 405, caller.CodeMethod),
		Entry("unknown service", "POST", "/service/none/x", "", nil, 404, caller.CodeService),
	)

	It("is refused by the HTTP server if its header is oversized", func() {
		request, err := http.NewRequest(http.MethodGet, "http://router/v1/models", nil)
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Padding", strings.Repeat("x", 4*headerLimit))
		response, err := h.client.Do(request)
		if err == nil {
			defer func() { _ = response.Body.Close() }()
			Expect(response.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		}
		Expect(h.runner.attempts()).To(BeZero())
	})

	It("is refused by an isolated router", func() {
		h.settingsStale = true
		response, content := send(h, "POST", "/v1/chat/completions", chat, nil)
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		code, run := decodeRefusal(content)
		Expect(code).To(Equal(caller.CodeIsolated))
		Expect(run).To(Equal(caller.RunNo))
		Expect(h.runner.attempts()).To(BeZero())
	})

	It("is refused while the router is stopping", func() {
		h.inflight.Close()
		response, content := send(h, "POST", "/v1/chat/completions", chat, nil)
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Retry-After")).To(Equal("1"))
		code, run := decodeRefusal(content)
		Expect(code).To(Equal(caller.CodeClosing))
		Expect(run).To(Equal(caller.RunNo))
	})
})

var _ = Describe("a request that runs", func() {
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		DeferCleanup(h.close)
	})

	It("receives the whole stream with either of two valid keys", func() {
		body := strings.Replace(chat, "{", `{"stream":true,`, 1)
		for _, key := range []string{"Bearer key", "Bearer next"} {
			response, content := send(h, "POST", "/v1/chat/completions", body, http.Header{"Authorization": {key}})
			Expect(response.StatusCode).To(Equal(http.StatusOK))
			Expect(content).To(Equal("data: one\n\ndata: [DONE]\n\n"))
		}
	})

	It("does not send the end marker of a stream that breaks off", func() {
		h.runner.events = []string{"data: one\n\n"}
		h.runner.outcomes = []attempt.Outcome{{Run: attempt.RunYes, ResponseStarted: true, Reason: attempt.Broken}}
		body := strings.Replace(chat, "{", `{"stream":true,`, 1)
		_, content := send(h, "POST", "/v1/chat/completions", body, nil)
		Expect(content).NotTo(ContainSubstring("[DONE]"))
		Expect(content).To(ContainSubstring(`"code":"cut","run":"yes"`))
		Expect(h.runner.attempts()).To(Equal(1))
	})

	It("counts the tokens of a non-streaming response and the wasted tokens of a failed attempt", func() {
		h.runner.events = []string{`{"choices":[]}`}
		h.runner.kind = attempt.KindBody
		broken := attempt.Outcome{Run: attempt.RunYes, Reason: attempt.Broken, Tokens: 5}
		complete := completeOutcome
		complete.Usage.Output = 12
		h.runner.outcomes = []attempt.Outcome{broken, complete}
		send(h, "POST", "/v1/chat/completions", chat, nil)
		count := func(name string) int64 {
			return metrics.GetOrRegisterCounter(name+".chat", h.metrics).Count()
		}
		Expect(count(caller.MetricOutputTokens)).To(Equal(int64(12)))
		Expect(count(caller.MetricWastedTokens)).To(Equal(int64(5)))
		Expect(count(caller.MetricTargetsMet)).To(Equal(int64(1)))
	})

	It("reports run unknown if any attempt may have run", func() {
		h.runner.outcomes = []attempt.Outcome{
			{Run: attempt.RunUnknown, Reason: attempt.Silent},
			{Run: attempt.RunNo, Reason: attempt.Unreachable},
		}
		response, content := send(h, "POST", "/v1/chat/completions", chat, nil)
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		_, run := decodeRefusal(content)
		Expect(run).To(Equal(caller.RunUnknown))
	})

	It("is retried on another server if the response has not started", func() {
		h.runner.outcomes = []attempt.Outcome{{Run: attempt.RunUnknown, Reason: attempt.Broken}, completeOutcome}
		response, content := send(h, "POST", "/v1/chat/completions", chat, nil)
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(content).To(Equal("data: one\n\ndata: [DONE]\n\n"))
		Expect(h.runner.engineCalls).To(HaveLen(2))
		Expect(h.runner.engineCalls[0].AttemptID).NotTo(Equal(h.runner.engineCalls[1].AttemptID))
	})

	It("forwards a service call's path, query and headers without the team's key and class", func() {
		send(h, "PUT", "/service/login/a%2Fb/c?d=e%26f", "body", http.Header{"Color": {"red"}})
		Expect(h.runner.serviceCalls).To(HaveLen(1))
		call := h.runner.serviceCalls[0]
		Expect(call.Method).To(Equal("PUT"))
		Expect(call.Path).To(Equal("/a%2Fb/c?d=e%26f"))
		Expect(call.Header).To(HaveKeyWithValue("Color", []string{"red"}))
		Expect(call.Header).NotTo(HaveKey("Authorization"))
		Expect(call.Header).NotTo(HaveKey("Class"))
	})
})

var _ = Describe("a call that is not idempotent", func() {
	var h *harness
	header := http.Header{"Class": {"grant"}, "Idempotency-Key": {"k"}}
	BeforeEach(func() {
		h = newHarness()
		DeferCleanup(h.close)
	})

	It("runs once and then replays the recorded response", func() {
		for range 3 {
			response, content := send(h, "POST", "/service/login/grant", "body", header)
			Expect(response.StatusCode).To(Equal(http.StatusOK))
			Expect(content).To(Equal("data: one\n\ndata: [DONE]\n\n"))
		}
		Expect(h.runner.serviceCalls).To(HaveLen(1))
		Expect(h.runner.serviceCalls[0].AtMostOnce).To(BeTrue())
	})

	It("is not sent again when its response was lost", func() {
		h.runner.outcomes = []attempt.Outcome{{Run: attempt.RunUnknown, Reason: attempt.Broken}}
		for range 3 {
			_, content := send(h, "POST", "/service/login/grant", "body", header)
			_, run := decodeRefusal(content)
			Expect(run).To(Equal(caller.RunUnknown))
		}
		Expect(h.runner.serviceCalls).To(HaveLen(1))
	})

	It("runs under a new attempt after one that did not run", func() {
		h.runner.outcomes = []attempt.Outcome{{Run: attempt.RunNo, Reason: attempt.Refused, Status: 409}, completeOutcome}
		_, content := send(h, "POST", "/service/login/grant", "body", header)
		code, run := decodeRefusal(content)
		Expect(code).To(Equal(caller.CodeRefused))
		Expect(run).To(Equal(caller.RunNo))
		response, _ := send(h, "POST", "/service/login/grant", "body", header)
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(h.runner.serviceCalls).To(HaveLen(2))
		Expect(h.runner.serviceCalls[0].AttemptID).NotTo(Equal(h.runner.serviceCalls[1].AttemptID))
	})

	It("refuses another request with the same key", func() {
		send(h, "POST", "/service/login/grant", "body", header)
		response, content := send(h, "POST", "/service/login/grant", "other", header)
		Expect(response.StatusCode).To(Equal(http.StatusUnprocessableEntity))
		code, _ := decodeRefusal(content)
		Expect(code).To(Equal(caller.CodeDifferent))
		Expect(h.runner.serviceCalls).To(HaveLen(1))
	})

	It("reports run unknown if refused before its key was looked up", func() {
		send(h, "POST", "/service/login/grant", "body", header)
		h.inflight.Close()
		_, content := send(h, "POST", "/service/login/grant", "body", header)
		code, run := decodeRefusal(content)
		Expect(code).To(Equal(caller.CodeClosing))
		Expect(run).To(Equal(caller.RunUnknown))
	})
})

func TestBufferedBodiesAreBoundedWithReserveForProtectedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness()
		defer h.close()
		var group sync.WaitGroup
		send := func(class, path string) *http.Response {
			body, writer := io.Pipe()
			request, err := http.NewRequest(http.MethodPost, "http://router"+path, body)
			g.Expect(err).NotTo(HaveOccurred())
			request.Header.Set("Authorization", "Bearer key")
			request.Header.Set("Class", class)
			answered := make(chan *http.Response, 1)
			group.Go(func() {
				_, _ = writer.Write(make([]byte, 2000))
			})
			group.Go(func() {
				defer func() { _ = writer.Close() }()
				response, err := h.client.Do(request)
				if err != nil {
					t.Error(err)
					return
				}
				_ = response.Body.Close()
				answered <- response
			})
			synctest.Wait()
			select {
			case response := <-answered:
				return response
			default:
				return nil
			}
		}
		for range 6 {
			g.Expect(send("chat", "/v1/chat/completions")).To(BeNil())
		}
		refused := send("chat", "/v1/chat/completions")
		g.Expect(refused.StatusCode).To(Equal(http.StatusServiceUnavailable))
		g.Expect(send("grant", "/service/login/grant")).To(BeNil())
		time.Sleep(readTimeout)
		group.Wait()
	})
}

func TestSlowBodyIsRefusedAtReadTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness()
		defer h.close()
		body, writer := io.Pipe()
		defer func() { _ = writer.Close() }()
		request, err := http.NewRequest(http.MethodPost, "http://router/v1/chat/completions", body)
		g.Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Authorization", "Bearer key")
		start := time.Now()
		response, err := h.client.Do(request)
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		g.Expect(response.StatusCode).To(Equal(http.StatusRequestTimeout))
		g.Expect(time.Since(start)).To(Equal(readTimeout))
		g.Expect(h.runner.attempts()).To(BeZero())
	})
}

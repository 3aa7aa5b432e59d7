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

// send sends a request with the team's key, unless header names another.
func send(r *rig, method, path, body string, header http.Header) (*http.Response, string) {
	GinkgoHelper()
	request, err := http.NewRequest(method, "http://router"+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer key")
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := r.client.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response, string(data)
}

// told returns code and run of a refusal.
func told(body string) (caller.Code, caller.Run) {
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
	var r *rig
	BeforeEach(func() {
		r = newRig()
		DeferCleanup(r.close)
	})

	DescribeTable("is refused with its own code and was not run",
		func(method, path, body string, header http.Header, status int, code caller.Code) {
			response, answer := send(r, method, path, body, header)
			Expect(response.StatusCode).To(Equal(status))
			gotCode, run := told(answer)
			Expect(gotCode).To(Equal(code))
			Expect(run).To(Equal(caller.RunNo))
			Expect(r.runner.sent()).To(BeZero())
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
		Entry("a model that nobody serves", "POST", "/v1/completions", `{"model":"none","prompt":"a"}`, nil, 404, caller.CodeModel),
		Entry("a class outside the contract", "POST", "/v1/chat/completions", chat, http.Header{"Class": {"other"}}, 403, caller.CodeClass),
		Entry("bad key", "POST", "/v1/chat/completions", chat, http.Header{"Authorization": {"Bearer nope"}}, 401, caller.CodeKey),
		Entry("no key", "POST", "/v1/chat/completions", chat, http.Header{"Authorization": {""}}, 401, caller.CodeKey),
		Entry("another scheme", "GET", "/v1/models", "", http.Header{"Authorization": {"Basic a2V5"}}, 401, caller.CodeKey),
		Entry("oversized body", "POST", "/v1/chat/completions", strings.Repeat("x", bodyLimit+1), nil, 413, caller.CodeLarge),
		Entry("unknown path", "GET", "/v2/models", "", nil, 404, caller.CodePath),
		Entry("wrong method", "GET", "/v1/chat/completions", "", nil, 405, caller.CodeMethod),
		Entry("unknown service", "POST", "/service/none/x", "", nil, 404, caller.CodeService),
	)

	It("is refused by the server itself if its header is oversized", func() {
		request, err := http.NewRequest(http.MethodGet, "http://router/v1/models", nil)
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Padding", strings.Repeat("x", 4*headerLimit))
		response, err := r.client.Do(request)
		if err == nil {
			defer func() { _ = response.Body.Close() }()
			Expect(response.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		}
		Expect(r.runner.sent()).To(BeZero())
	})

	It("is refused by a router that is cut off", func() {
		r.stale = true
		response, answer := send(r, "POST", "/v1/chat/completions", chat, nil)
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		code, run := told(answer)
		Expect(code).To(Equal(caller.CodeIsolated))
		Expect(run).To(Equal(caller.RunNo))
		Expect(r.runner.sent()).To(BeZero())
	})

	It("is refused once no more requests are taken", func() {
		r.inflight.Close()
		response, answer := send(r, "POST", "/v1/chat/completions", chat, nil)
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Retry-After")).To(Equal("1"))
		code, run := told(answer)
		Expect(code).To(Equal(caller.CodeClosing))
		Expect(run).To(Equal(caller.RunNo))
	})
})

var _ = Describe("a request that runs", func() {
	var r *rig
	BeforeEach(func() {
		r = newRig()
		DeferCleanup(r.close)
	})

	It("gets the whole stream with either of two valid keys", func() {
		body := strings.Replace(chat, "{", `{"stream":true,`, 1)
		for _, key := range []string{"Bearer key", "Bearer next"} {
			response, answer := send(r, "POST", "/v1/chat/completions", body, http.Header{"Authorization": {key}})
			Expect(response.StatusCode).To(Equal(http.StatusOK))
			Expect(answer).To(Equal("data: one\n\ndata: [DONE]\n\n"))
		}
	})

	It("never shows the end marker of a stream that ends early", func() {
		r.runner.parts = []string{"data: one\n\n"}
		r.runner.outcomes = []attempt.Outcome{{Run: attempt.RunYes, ResponseStarted: true, Reason: attempt.Broken}}
		body := strings.Replace(chat, "{", `{"stream":true,`, 1)
		_, answer := send(r, "POST", "/v1/chat/completions", body, nil)
		Expect(answer).NotTo(ContainSubstring("[DONE]"))
		Expect(answer).To(ContainSubstring(`"code":"cut","run":"yes"`))
		Expect(r.runner.sent()).To(Equal(1))
	})

	It("counts the tokens of an answer in one piece and those made for nothing", func() {
		r.runner.parts = []string{`{"choices":[]}`}
		r.runner.kind = attempt.KindBody
		lost := attempt.Outcome{Run: attempt.RunYes, Reason: attempt.Broken, Tokens: 5}
		given := whole
		given.Usage.Output = 12
		r.runner.outcomes = []attempt.Outcome{lost, given}
		send(r, "POST", "/v1/chat/completions", chat, nil)
		count := func(name string) int64 {
			return metrics.GetOrRegisterCounter(name+".chat", r.meters).Count()
		}
		Expect(count(caller.MetricOutputTokens)).To(Equal(int64(12)))
		Expect(count(caller.MetricWastedTokens)).To(Equal(int64(5)))
		Expect(count(caller.MetricTargetsMet)).To(Equal(int64(1)))
	})

	It("is told what is known after the last attempt", func() {
		r.runner.outcomes = []attempt.Outcome{
			{Run: attempt.RunUnknown, Reason: attempt.Silent},
			{Run: attempt.RunNo, Reason: attempt.Unreachable},
		}
		response, answer := send(r, "POST", "/v1/chat/completions", chat, nil)
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		_, run := told(answer)
		Expect(run).To(Equal(caller.RunUnknown))
	})

	It("is tried again on another server before the caller has seen a byte", func() {
		r.runner.outcomes = []attempt.Outcome{{Run: attempt.RunUnknown, Reason: attempt.Broken}, whole}
		response, answer := send(r, "POST", "/v1/chat/completions", chat, nil)
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(answer).To(Equal("data: one\n\ndata: [DONE]\n\n"))
		Expect(r.runner.engine).To(HaveLen(2))
		Expect(r.runner.engine[0].AttemptID).NotTo(Equal(r.runner.engine[1].AttemptID))
	})

	It("passes a service's path, query and headers on, less the team's key and class", func() {
		send(r, "PUT", "/service/login/a%2Fb/c?d=e%26f", "body", http.Header{"Color": {"red"}})
		Expect(r.runner.service).To(HaveLen(1))
		call := r.runner.service[0]
		Expect(call.Method).To(Equal("PUT"))
		Expect(call.Path).To(Equal("/a%2Fb/c?d=e%26f"))
		Expect(call.Header).To(HaveKeyWithValue("Color", []string{"red"}))
		Expect(call.Header).NotTo(HaveKey("Authorization"))
		Expect(call.Header).NotTo(HaveKey("Class"))
	})
})

var _ = Describe("a call that is not idempotent", func() {
	var r *rig
	header := http.Header{"Class": {"grant"}, "Idempotency-Key": {"k"}}
	BeforeEach(func() {
		r = newRig()
		DeferCleanup(r.close)
	})

	It("runs once and is answered again from its record", func() {
		for range 3 {
			response, answer := send(r, "POST", "/service/login/grant", "body", header)
			Expect(response.StatusCode).To(Equal(http.StatusOK))
			Expect(answer).To(Equal("data: one\n\ndata: [DONE]\n\n"))
		}
		Expect(r.runner.service).To(HaveLen(1))
		Expect(r.runner.service[0].AtMostOnce).To(BeTrue())
	})

	It("is not sent again when its answer was lost", func() {
		r.runner.outcomes = []attempt.Outcome{{Run: attempt.RunUnknown, Reason: attempt.Broken}}
		for range 3 {
			_, answer := send(r, "POST", "/service/login/grant", "body", header)
			_, run := told(answer)
			Expect(run).To(Equal(caller.RunUnknown))
		}
		Expect(r.runner.service).To(HaveLen(1))
	})

	It("runs under a new attempt after one that did not run", func() {
		r.runner.outcomes = []attempt.Outcome{{Run: attempt.RunNo, Reason: attempt.Refused, Status: 409}, whole}
		_, answer := send(r, "POST", "/service/login/grant", "body", header)
		code, run := told(answer)
		Expect(code).To(Equal(caller.CodeRefused))
		Expect(run).To(Equal(caller.RunNo))
		response, _ := send(r, "POST", "/service/login/grant", "body", header)
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(r.runner.service).To(HaveLen(2))
		Expect(r.runner.service[0].AttemptID).NotTo(Equal(r.runner.service[1].AttemptID))
	})

	It("is refused for another request with the same key", func() {
		send(r, "POST", "/service/login/grant", "body", header)
		response, answer := send(r, "POST", "/service/login/grant", "other", header)
		Expect(response.StatusCode).To(Equal(http.StatusUnprocessableEntity))
		code, _ := told(answer)
		Expect(code).To(Equal(caller.CodeDifferent))
		Expect(r.runner.service).To(HaveLen(1))
	})

	It("is not told that it did not run before its key was looked up", func() {
		send(r, "POST", "/service/login/grant", "body", header)
		r.inflight.Close()
		_, answer := send(r, "POST", "/service/login/grant", "body", header)
		code, run := told(answer)
		Expect(code).To(Equal(caller.CodeClosing))
		Expect(run).To(Equal(caller.RunUnknown))
	})
})

func TestBodiesHeldAtOnceAreBoundedAndLeaveRoomForProtectedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newRig()
		defer r.close()
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
				response, err := r.client.Do(request)
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

func TestSlowSenderIsRefusedInBoundedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newRig()
		defer r.close()
		body, writer := io.Pipe()
		defer func() { _ = writer.Close() }()
		request, err := http.NewRequest(http.MethodPost, "http://router/v1/chat/completions", body)
		g.Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Authorization", "Bearer key")
		start := time.Now()
		response, err := r.client.Do(request)
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		g.Expect(response.StatusCode).To(Equal(http.StatusRequestTimeout))
		g.Expect(time.Since(start)).To(Equal(readTimeout))
		g.Expect(r.runner.sent()).To(BeZero())
	})
}

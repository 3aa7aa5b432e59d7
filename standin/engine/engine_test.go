package engine_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/standin/engine"
	"snipetally.example/standin/network"
)

const (
	streamingBody    = `{"model":"m","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"hello"}],"stream_options":{"include_usage":true}}`
	nonStreamingBody = `{"model":"m","max_tokens":4,"prompt":"hello"}`
)

// testBench holds an engine and a client that run in virtual time.
type testBench struct {
	*gomega.WithT
	engine *engine.Engine
	client *http.Client
}

// runInBubble runs a test against an engine in a synctest bubble, that is, in
// virtual time.
func runInBubble(t *testing.T, config engine.Config, test func(b *testBench)) {
	synctest.Test(t, func(t *testing.T) {
		pipe := network.NewPipeListener()
		ctx, cancel := context.WithCancel(t.Context())
		e := engine.New(config)
		served := make(chan error)
		go func() { served <- e.Serve(ctx, pipe) }()
		client := &http.Client{Transport: &http.Transport{DialContext: pipe.DialContext}}
		test(&testBench{WithT: gomega.NewWithT(t), engine: e, client: client})
		cancel()
		e.Close()
		client.CloseIdleConnections()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
}

// call sends a request and returns the response with its full body.
func (b *testBench) call(method, path, attempt, body string) (*http.Response, string, error) {
	request, err := http.NewRequest(method, "http://engine"+path, strings.NewReader(body))
	b.Expect(err).NotTo(gomega.HaveOccurred())
	request.Header.Set("Attempt", attempt)
	response, err := b.client.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response, string(data), err
}

// streamText returns the concatenated text of all chunks of a stream.
func streamText(stream string) string {
	var text strings.Builder
	for line := range strings.Lines(stream) {
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if ok && json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return text.String()
}

func TestStreamContainsCompletionUsageAndDoneMarker(t *testing.T) {
	runInBubble(t, engine.Config{}, func(b *testBench) {
		response, body, err := b.call(http.MethodPost, "/v1/chat/completions", "a", streamingBody)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.Expect(response.Header.Get("Attempt")).To(gomega.Equal("a"))
		expected, _ := engine.CompletionText([]byte(streamingBody))
		b.Expect(streamText(body)).To(gomega.Equal(expected))
		b.Expect(body).To(gomega.HavePrefix("id: 1\ndata: "))
		b.Expect(body).To(gomega.HaveSuffix("id: 7\ndata: [DONE]\n\n"))
		b.Expect(body).To(gomega.ContainSubstring(`"completion_tokens":4`))
	})
}

func TestNonStreamingResponseDeclaresContentLength(t *testing.T) {
	runInBubble(t, engine.Config{}, func(b *testBench) {
		response, body, err := b.call(http.MethodPost, "/v1/completions", "a", nonStreamingBody)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.Expect(response.ContentLength).To(gomega.Equal(int64(len(body))))
		expected, _ := engine.CompletionText([]byte(nonStreamingBody))
		b.Expect(body).To(gomega.ContainSubstring(expected))
	})
}

func TestBrokenStreamResumesAfterLastEvent(t *testing.T) {
	runInBubble(t, engine.Config{}, func(b *testBench) {
		b.engine.BreakAfter(2)
		_, first, err := b.call(http.MethodPost, "/v1/chat/completions", "a", streamingBody)
		b.Expect(err).To(gomega.HaveOccurred())
		b.Expect(strings.Count(first, "id: ")).To(gomega.Equal(2))
		request, _ := http.NewRequest(http.MethodGet, "http://engine/v1/requests/a/stream", nil)
		request.Header.Set("Last-Event-ID", "2")
		response, err := b.client.Do(request)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		rest, err := io.ReadAll(response.Body)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		expected, _ := engine.CompletionText([]byte(streamingBody))
		b.Expect(streamText(first + string(rest))).To(gomega.Equal(expected))
	})
}

func TestAttemptReportedAbsentIsRefusedOnArrival(t *testing.T) {
	runInBubble(t, engine.Config{}, func(b *testBench) {
		_, state, err := b.call(http.MethodGet, "/v1/requests/late", "", "")
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.Expect(state).To(gomega.ContainSubstring(`"state":"absent"`))
		response, _, err := b.call(http.MethodPost, "/v1/completions", "late", nonStreamingBody)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.Expect(response.StatusCode).To(gomega.Equal(http.StatusConflict))
		record, _ := b.engine.Record("late")
		b.Expect(record.Starts).To(gomega.BeZero())
	})
}

func TestPriorityChangeReordersQueue(t *testing.T) {
	runInBubble(t, engine.Config{Slots: 1, TokenLatency: time.Second}, func(b *testBench) {
		ended := make(chan string, 3)
		for _, attempt := range []string{"first", "second", "third"} {
			go func() {
				_, _, _ = b.call(http.MethodPost, "/v1/completions", attempt, nonStreamingBody)
				ended <- attempt
			}()
			synctest.Wait()
		}
		_, _, err := b.call(http.MethodPatch, "/v1/requests/third", "", `{"priority":-1}`)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.Expect([]string{<-ended, <-ended, <-ended}).To(gomega.Equal([]string{"first", "third", "second"}))
	})
}

func TestBlackholedConnectionsStaySilentWhileNewOnesWork(t *testing.T) {
	runInBubble(t, engine.Config{TokenLatency: time.Second}, func(b *testBench) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
		defer cancel()
		request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://engine/v1/completions", strings.NewReader(nonStreamingBody))
		request.Header.Set("Attempt", "a")
		failed := make(chan error)
		go func() {
			response, err := b.client.Do(request)
			if err == nil {
				_ = response.Body.Close()
			}
			failed <- err
		}()
		synctest.Wait()
		b.engine.BlackholeConnections()
		_, state, err := b.call(http.MethodGet, "/v1/requests/a", "", "")
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.Expect(state).To(gomega.ContainSubstring(`"state":"running"`))
		b.Expect(<-failed).To(gomega.MatchError(context.DeadlineExceeded))
	})
}

func TestCrashDropsRunningRequestsAndTheirState(t *testing.T) {
	runInBubble(t, engine.Config{TokenLatency: time.Second}, func(b *testBench) {
		failed := make(chan error)
		go func() {
			_, _, err := b.call(http.MethodPost, "/v1/completions", "a", nonStreamingBody)
			failed <- err
		}()
		synctest.Wait()
		b.engine.Crash()
		b.Expect(<-failed).To(gomega.HaveOccurred())
		_, _, err := b.call(http.MethodGet, "/load", "", "")
		b.Expect(err).To(gomega.HaveOccurred())
		b.engine.Restart()
		response, state, err := b.call(http.MethodGet, "/v1/requests/a", "", "")
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.Expect(state).To(gomega.ContainSubstring(`"state":"absent"`))
		b.Expect(response.Header.Get("Epoch")).To(gomega.Equal("2"))
	})
}

func TestCacheEventsAreDelayedAndPartlyLost(t *testing.T) {
	prompt := strings.Repeat("x", 300)
	body := `{"model":"m","max_tokens":1,"prompt":"` + prompt + `"}`
	runInBubble(t, engine.Config{ReportDelay: time.Minute, EventLossInterval: 3}, func(b *testBench) {
		_, first, _ := b.call(http.MethodPost, "/v1/completions", "a", body)
		_, second, _ := b.call(http.MethodPost, "/v1/completions", "b", body)
		b.Expect(first).To(gomega.ContainSubstring(`"cached_tokens":0`))
		b.Expect(second).To(gomega.ContainSubstring(`"cached_tokens":64`))
		_, early, _ := b.call(http.MethodGet, "/events?after=0", "", "")
		b.Expect(early).To(gomega.Equal(`{"events":[],"last":0}`))
		time.Sleep(2 * time.Minute)
		_, late, _ := b.call(http.MethodGet, "/events?after=0", "", "")
		b.Expect(strings.Count(late, `"kept":true`)).To(gomega.Equal(3))
		b.Expect(late).To(gomega.HaveSuffix(`"last":4}`))
	})
}

func TestExportedRequestContinuesOnAnotherEngine(t *testing.T) {
	runInBubble(t, engine.Config{TokenLatency: time.Second}, func(from *testBench) {
		go func() { _, _, _ = from.call(http.MethodPost, "/v1/chat/completions", "a", streamingBody) }()
		time.Sleep(2500 * time.Millisecond)
		_, state, err := from.call(http.MethodPost, "/v1/requests/a/export", "", "")
		from.Expect(err).NotTo(gomega.HaveOccurred())
		to := engine.New(engine.Config{})
		defer to.Close()
		pipe := network.NewPipeListener()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = to.Serve(ctx, pipe) }()
		other := &testBench{WithT: from.WithT, engine: to, client: &http.Client{Transport: &http.Transport{DialContext: pipe.DialContext}}}
		_, _, err = other.call(http.MethodPost, "/v1/requests/a/import", "", state)
		from.Expect(err).NotTo(gomega.HaveOccurred())
		_, body, err := other.call(http.MethodGet, "/v1/requests/a/stream", "", "")
		from.Expect(err).NotTo(gomega.HaveOccurred())
		expected, _ := engine.CompletionText([]byte(streamingBody))
		from.Expect(streamText(body)).To(gomega.Equal(expected))
		other.client.CloseIdleConnections()
	})
}

func TestOnlyFencingEngineRefusesOutdatedOrder(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		runInBubble(t, engine.Config{Models: []string{"m"}, SupportsFencing: fenced}, func(b *testBench) {
			_, _, _ = b.call(http.MethodPost, "/orders", "", `{"fence":7,"kind":"load","name":"n"}`)
			response, _, err := b.call(http.MethodPost, "/orders", "", `{"fence":6,"kind":"unload","name":"m"}`)
			b.Expect(err).NotTo(gomega.HaveOccurred())
			_, state, _ := b.call(http.MethodGet, "/orders", "", "")
			if fenced {
				b.Expect(response.StatusCode).To(gomega.Equal(http.StatusConflict))
				b.Expect(state).To(gomega.ContainSubstring(`"models":["m","n"]`))
				return
			}
			b.Expect(state).To(gomega.ContainSubstring(`"models":["n"]`))
		})
	}
}

func TestRequestWithoutReaderIsCanceledAfterOrphanTimeout(t *testing.T) {
	runInBubble(t, engine.Config{TokenLatency: time.Second, OrphanTimeout: time.Second}, func(b *testBench) {
		b.engine.BreakAfter(1)
		_, _, err := b.call(http.MethodPost, "/v1/chat/completions", "a", streamingBody)
		b.Expect(err).To(gomega.HaveOccurred())
		time.Sleep(time.Minute)
		record, _ := b.engine.Record("a")
		b.Expect(record.State).To(gomega.Equal(engine.StateCancelled))
		b.Expect(record.OutputTokens).To(gomega.BeNumerically("<", 4))
	})
}

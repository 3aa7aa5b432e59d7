package attempt_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"snipetally.example/router/internal/attempt"
	"snipetally.example/router/internal/link"
)

// discardSink is an attempt.Sink that discards everything.
type discardSink struct{}

// Begin implements attempt.Sink.
func (discardSink) Begin(attempt.Head) error { return nil }

// Event implements attempt.Sink.
func (discardSink) Event(attempt.Event) error { return nil }

// Flush implements attempt.Sink.
func (discardSink) Flush() error { return nil }

// streamServer returns a server that streams a response of the given number of
// tokens, with a flush after each one if flushed is set.
func streamServer(tokens int, flushed bool) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt", r.Header.Get("Attempt"))
		w.Header().Set("Content-Type", "text/event-stream")
		flusher := http.NewResponseController(w)
		for n := range tokens {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":\"x\",\"object\":\"chat.completion.chunk\",\"created\":0,\"model\":\"m\","+
				"\"choices\":[{\"index\":0,\"delta\":{\"content\":\" word\"},\"finish_reason\":null}]}\n\n", n+1)
			if flushed {
				_ = flusher.Flush()
			}
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\nid: %d\ndata: [DONE]\n\n", tokens+1, tokens+2)
	}))
}

// BenchmarkStream measures a request with 0 tokens and with 1000; the difference
// is the cost of the tokens. Both ends of the connection run in this process, so
// allocations include those of the server.
func BenchmarkStream(b *testing.B) {
	for _, flushed := range []bool{false, true} {
		for _, tokens := range []int{0, 1000} {
			b.Run(fmt.Sprintf("tokens=%d/flushed=%t", tokens, flushed), func(b *testing.B) {
				server := streamServer(tokens, flushed)
				defer server.Close()
				l := link.New(link.Config{Address: strings.TrimPrefix(server.URL, "http://")})
				defer l.Close()
				runner := attempt.NewRunner(attempt.Config{})
				defer runner.Close(context.Background())
				call := attempt.EngineCall{
					AttemptID: "a",
					Path:      "/v1/chat/completions",
					Body:      []byte(`{"model":"m"}`),
					Stream:    true,
					Timeouts:  attempt.ProgressTimeouts{First: time.Minute, Between: time.Minute},
				}
				b.ReportAllocs()
				for b.Loop() {
					if o := runner.CallEngine(context.Background(), l, call, discardSink{}); !o.Complete {
						b.Fatal(o.Err)
					}
				}
			})
		}
	}
}

// BenchmarkDirect measures the same exchange with an http.Client that discards
// the body, for comparison with BenchmarkStream.
func BenchmarkDirect(b *testing.B) {
	for _, flushed := range []bool{false, true} {
		for _, tokens := range []int{0, 1000} {
			b.Run(fmt.Sprintf("tokens=%d/flushed=%t", tokens, flushed), func(b *testing.B) {
				server := streamServer(tokens, flushed)
				defer server.Close()
				client := server.Client()
				buffer := make([]byte, 8<<10)
				b.ReportAllocs()
				for b.Loop() {
					response, err := client.Post(server.URL+"/v1/chat/completions", "application/json", strings.NewReader(`{"model":"m"}`))
					if err != nil {
						b.Fatal(err)
					}
					for err == nil {
						_, err = response.Body.Read(buffer)
					}
					_ = response.Body.Close()
				}
			})
		}
	}
}

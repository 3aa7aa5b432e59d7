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

// nowhere is a sink that takes everything.
type nowhere struct{}

// Begin implements attempt.Sink.
func (nowhere) Begin(attempt.Head) error { return nil }

// Event implements attempt.Sink.
func (nowhere) Event(attempt.Event) error { return nil }

// Flush implements attempt.Sink.
func (nowhere) Flush() error { return nil }

// streamServer returns a server that streams an answer of the given number of
// tokens, with a flush after each one if paced.
func streamServer(tokens int, paced bool) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt", r.Header.Get("Attempt"))
		w.Header().Set("Content-Type", "text/event-stream")
		flusher := http.NewResponseController(w)
		for n := range tokens {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":\"x\",\"object\":\"chat.completion.chunk\",\"created\":0,\"model\":\"m\","+
				"\"choices\":[{\"index\":0,\"delta\":{\"content\":\" word\"},\"finish_reason\":null}]}\n\n", n+1)
			if paced {
				_ = flusher.Flush()
			}
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\nid: %d\ndata: [DONE]\n\n", tokens+1, tokens+2)
	}))
}

// BenchmarkStream measures the cost of a request with 0 tokens and with 1000,
// whose difference is that of the tokens. Both ends of the connection run in
// the process, so allocations are those of the attempt and of the server.
func BenchmarkStream(b *testing.B) {
	for _, paced := range []bool{false, true} {
		for _, tokens := range []int{0, 1000} {
			b.Run(fmt.Sprintf("tokens=%d/flushed=%t", tokens, paced), func(b *testing.B) {
				server := streamServer(tokens, paced)
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
					if o := runner.Engine(context.Background(), l, call, nowhere{}); !o.Complete {
						b.Fatal(o.Err)
					}
				}
			})
		}
	}
}

// BenchmarkDirect is the same exchange with a plain client that reads the body
// without looking at it.
func BenchmarkDirect(b *testing.B) {
	for _, paced := range []bool{false, true} {
		for _, tokens := range []int{0, 1000} {
			b.Run(fmt.Sprintf("tokens=%d/flushed=%t", tokens, paced), func(b *testing.B) {
				server := streamServer(tokens, paced)
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

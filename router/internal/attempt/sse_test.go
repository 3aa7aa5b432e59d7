package attempt_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"snipetally.example/router/internal/attempt"
	"snipetally.example/router/internal/link"
	"snipetally.example/standin/network"
)

const streamHead = "HTTP/1.1 200 OK\r\nAttempt: a\r\nContent-Type: text/event-stream; charset=utf-8\r\nConnection: close\r\n\r\n"

// streamRaw runs an attempt against a server that answers the first request with
// a stream in the given pieces and all further requests with 404.
func streamRaw(pieces []string) (outcome attempt.Outcome, got *recordingSink) {
	pipe := network.NewPipeListener()
	go func() {
		for n := 0; ; n++ {
			c, err := pipe.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			if n > 0 {
				_, _ = io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			} else {
				for _, piece := range pieces {
					_, _ = io.WriteString(c, piece)
				}
			}
			_ = c.Close()
		}
	}()
	l := link.New(link.Config{Address: "10.0.0.1:80", Dial: pipe.DialContext})
	runner := attempt.NewRunner(attempt.Config{})
	got = &recordingSink{}
	outcome = runner.CallEngine(context.Background(), l, attempt.EngineCall{AttemptID: "a", Path: "/v1/completions", Stream: true}, got)
	runner.Close(context.Background())
	l.Close()
	_ = pipe.Close()
	time.Sleep(time.Minute)
	return outcome, got
}

// rawOutput returns the bytes of the stream that the caller received.
func rawOutput(got *recordingSink) string {
	var all strings.Builder
	for _, e := range got.events {
		all.Write(e.Raw)
	}
	return all.String()
}

func TestEventsAreForwardedHoweverBytesAreSplit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ending := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(rt, "line ending")
		var sent, expected strings.Builder
		number := 0
		event := func(data string) {
			number++
			if rapid.Bool().Draw(rt, "comment") {
				sent.WriteString(": alive" + ending + ending)
			}
			lines := "data: " + data + ending + ending
			sent.WriteString(fmt.Sprintf("id: %d%s", number, ending) + lines)
			expected.WriteString(lines)
		}
		for range rapid.IntRange(1, 5).Draw(rt, "tokens") {
			event(`{"choices":[{"text":"` + strings.Repeat("x", rapid.SampledFrom([]int{1, 100, 9000, 40000}).Draw(rt, "length")) + `","finish_reason":null}]}`)
		}
		event(`{"choices":[{"text":"","finish_reason":"stop"}]}`)
		event("[DONE]")
		text := sent.String()
		pieces := []string{streamHead}
		for len(text) > 0 {
			n := min(len(text), rapid.SampledFrom([]int{1, 7, 100, 5000, 100000}).Draw(rt, "piece"))
			if n == 1 && len(text) > 200 {
				n = len(text) - 200
			}
			pieces, text = append(pieces, text[:n]), text[n:]
		}
		var outcome attempt.Outcome
		var got *recordingSink
		synctest.Test(t, func(*testing.T) { outcome, got = streamRaw(pieces) })
		if !outcome.Complete || rawOutput(got) != expected.String() {
			rt.Fatalf("complete %t (%v), %d bytes of %d", outcome.Complete, outcome.Err, len(rawOutput(got)), expected.Len())
		}
	})
}

func TestInvalidStreamIsNotComplete(t *testing.T) {
	token := `data: {"choices":[{"text":"x","finish_reason":null}]}` + "\n\n"
	finish := `data: {"choices":[{"text":"","finish_reason":"stop"}]}` + "\n\n"
	done := "data: [DONE]\n\n"
	streams := map[string]string{
		"no ids":              token + finish + done,
		"starts at two":       "id: 2\n" + token + "id: 3\n" + finish + "id: 4\n" + done,
		"gap":                 "id: 1\n" + token + "id: 3\n" + finish + "id: 4\n" + done,
		"duplicate":           "id: 1\n" + token + "id: 1\n" + token + "id: 2\n" + finish + "id: 3\n" + done,
		"id that overflows":   "id: 4294967297\n" + token + "id: 2\n" + finish + "id: 3\n" + done,
		"id after the data":   strings.Replace(token, "\n\n", "\nid: 1\n\n", 1) + "id: 2\n" + finish + "id: 3\n" + done,
		"done without finish": "id: 1\n" + token + "id: 2\n" + done,
		"quoted finish":       "id: 1\n" + `data: {"choices":[{"text":"\"finish_reason\":\"stop\"","finish_reason":null}]}` + "\n\nid: 2\n" + done,
		"no done":             "id: 1\n" + token + "id: 2\n" + finish,
		"done without blank":  "id: 1\n" + finish + "id: 2\ndata: [DONE]\n",
		"event after done":    "id: 1\n" + finish + "id: 2\n" + done + "id: 3\n" + token,
		"endless event":       "id: 1\ndata: " + strings.Repeat("x", 2<<20),
		"empty":               "",
	}
	for name, text := range streams {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				outcome, got := streamRaw([]string{streamHead, text})
				g.Expect(outcome.Complete).To(gomega.BeFalse())
				g.Expect(got.ended()).To(gomega.BeFalse())
				g.Expect(outcome.Run).NotTo(gomega.Equal(attempt.RunNo))
			})
		})
	}
}

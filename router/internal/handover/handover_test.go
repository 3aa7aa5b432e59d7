package handover_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"snipetally.example/coordination/seeds"
	"snipetally.example/router/internal/handover"
)

func init() { seeds.Fix() }

// TestEncodingKeepsRequests checks that a request is the same after it was handed over.
func TestEncodingKeepsRequests(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := gomega.NewWithT(rt)
		request := handover.Request{
			Method: rapid.StringN(1, 8, 8).Draw(rt, "method"), Target: "/" + rapid.String().Draw(rt, "target"),
			Host: rapid.String().Draw(rt, "host"), Body: rapid.SliceOf(rapid.Byte()).Draw(rt, "body"),
			HasBody: rapid.Bool().Draw(rt, "hasBody"), Service: rapid.String().Draw(rt, "service"),
			Header:     http.Header(rapid.MapOf(rapid.String(), rapid.SliceOf(rapid.String())).Draw(rt, "header")),
			Timeout:    time.Duration(rapid.IntRange(1, 1e9).Draw(rt, "timeout")) * time.Microsecond,
			Executions: rapid.IntRange(0, 9).Draw(rt, "executions"), LastEventID: rapid.String().Draw(rt, "last"),
			PlanVersion: rapid.Int64().Draw(rt, "plan"),
		}
		data, err := handover.Encode(request)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		decoded, err := handover.Decode(data)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(decoded).To(gomega.Equal(request))
	})
}

// Guards against calls that end the router or hold impossible values.
func TestMalformedRequestsAreErrors(t *testing.T) {
	g := gomega.NewWithT(t)
	rapid.Check(t, func(rt *rapid.T) {
		_, _ = handover.Decode(rapid.SliceOf(rapid.Byte()).Draw(rt, "data")) // It must return.
	})
	for _, fields := range [][]any{
		{"GET", "/", "h", nil, nil, false, -1, "s", 0, ""},
		{"GET", "/", "h", nil, nil, false, 0, "s", 0, ""},
		{"GET", "/", "h", nil, nil, false, int64(1) << 60, "s", 0, ""},
		{"GET", "/", "h", nil, nil, false, 1, "s", -1, ""},
		{"", "/", "h", nil, nil, false, 1, "s", 0, ""},
		{"GET", "", "h", nil, nil, false, 1, "s", 0, ""},
		{"GET", "/"},
	} {
		data, err := cbor.Marshal(fields)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = handover.Decode(data)
		g.Expect(err).To(gomega.HaveOccurred())
	}
}

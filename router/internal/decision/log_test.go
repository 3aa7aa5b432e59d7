package decision_test

import (
	"bytes"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/decision"
)

// blockedWriter is a writer that blocks until it is released.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	out := blockedWriter{release: make(chan struct{})}
	log := decision.New(out, "vm")
	for range 100000 {
		log.Request(time.Now(), nil).Str("request", "r").Msg("request ended")
	}
	close(out.release)
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu    sync.Mutex
	bytes bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes.Write(p)
}

func TestSuccessLinesAreLimitedAndOmissionsCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	var out lockedBuffer
	log := decision.New(&out, "vm")
	now := time.Unix(1e9, 0)
	for range 1000 {
		log.Success(now).Msg("served")
	}
	log.Success(now.Add(time.Second)).Msg("served")
	g.Expect(log.Close()).To(gomega.Succeed())
	text := out.bytes.String()
	g.Expect(strings.Count(text, "served")).To(gomega.Equal(21))
	g.Expect(text).To(gomega.ContainSubstring(`"omitted":980`))
}

// TestRequestLinesAreLimitedAndOmissionsCounted logs more refused requests in a
// second than the limit. Omitted lines are counted in the next one.
func TestRequestLinesAreLimitedAndOmissionsCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	var out lockedBuffer
	log := decision.New(&out, "vm")
	now := time.Unix(1e9, 0)
	const refused = 5000
	for range refused {
		log.Request(now, nil).Msg("request ended")
	}
	log.Request(now.Add(time.Second), errors.New("stream interrupted")).Msg("request repeated")
	g.Expect(log.Close()).To(gomega.Succeed())
	text := out.bytes.String()
	g.Expect(strings.Count(text, "request ended")).To(gomega.Equal(200))
	g.Expect(text).To(gomega.ContainSubstring(`"omitted":4800`))
	g.Expect(log.DroppedLines()).To(gomega.BeZero())
}

func TestRepeatedFailuresOfOneKindAreMerged(t *testing.T) {
	g := gomega.NewWithT(t)
	var out lockedBuffer
	log := decision.New(&out, "vm")
	now := time.Unix(1e9, 0)
	for i := range 30 {
		log.RepeatedFailure(now.Add(time.Duration(i)*10*time.Millisecond), "report", errors.New("full")).Msg("load report lost")
	}
	log.RepeatedFailure(now, "row", errors.New("bad")).Msg("row can't be used")
	log.RepeatedFailure(now.Add(2*time.Second), "report", errors.New("full")).Msg("load report lost")
	g.Expect(log.Close()).To(gomega.Succeed())
	text := out.bytes.String()
	g.Expect(strings.Count(text, "load report lost")).To(gomega.Equal(2))
	g.Expect(text).To(gomega.ContainSubstring(`"merged":29`))
	g.Expect(text).To(gomega.ContainSubstring("row can't be used"))
}

const logs = `   1.0 edge-1 {"vm":"a","time":"2030-01-01T00:00:10Z","message":"table lost"}
{"vm":"a","time":"2030-01-01T00:00:11Z","request":"r1","message":"request ended"}
a line of another program
{"vm":"a","time":"2030-01-01T00:00:30Z","message":"table regained"}
{"vm":"b","time":"2030-01-01T00:00:11Z","message":"plan in force"}
{"vm":"a","time":"2030-01-01T00:00:11Z","request":"r2","message":"served"}
`

func TestExplainPrintsRequestLinesAndRouterChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	g.Expect(decision.Explain(&out, "r1", strings.NewReader(logs))).To(gomega.Succeed())
	g.Expect(out.String()).To(gomega.ContainSubstring("request ended"))
	g.Expect(out.String()).To(gomega.ContainSubstring("table lost"))
	for _, other := range []string{"table regained", "plan in force", "served"} {
		g.Expect(out.String()).NotTo(gomega.ContainSubstring(other))
	}
	out.Reset()
	g.Expect(decision.Explain(&out, "r9", strings.NewReader(logs))).To(gomega.Succeed())
	g.Expect(out.String()).To(gomega.ContainSubstring("no line about request r9"))
}

// failingWriter is a writer that fails.
type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("full") }

func TestExplainReturnsWriteErrors(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(decision.Explain(failingWriter{}, "r1", strings.NewReader(logs))).NotTo(gomega.Succeed())
}

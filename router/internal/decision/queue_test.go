package decision_test

import (
	"bytes"
	"errors"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/decision"
)

// lineCounter counts the lines that are written to it.
type lineCounter struct{ lines atomic.Int64 }

func (c *lineCounter) Write(p []byte) (int, error) {
	c.lines.Add(int64(bytes.Count(p, []byte("\n"))))
	return len(p), nil
}

// awaitLines spins until a number of lines are written, to be quick.
func (c *lineCounter) awaitLines(lines int64) {
	for spins := 0; c.lines.Load() < lines; spins++ {
		if spins > 1000 {
			runtime.Gosched()
		}
	}
}

// Guards against a line that is not written until the next one is logged, as it came just when
// the writer had written the one before and went to wait.
func TestLineIsWrittenThoughNoOtherFollows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &lineCounter{}
		log := decision.New(out, "vm")
		var pause atomic.Int64
		for round := range int64(200_000) {
			log.StateChange().Msg("table lost")
			out.awaitLines(2*round + 1)
			for range round % 20 {
				pause.Add(1)
			}
			log.StateChange().Msg("table regained")
			synctest.Wait()
			if written := out.lines.Load(); written != 2*round+2 {
				t.Errorf("%d lines written of %d", written, 2*round+2)
				break
			}
		}
		gomega.NewWithT(t).Expect(log.Close()).To(gomega.Succeed())
	})
}

// Guards against lines that are neither written nor counted as dropped while the output is blocked,
// and against losing the newest ones, which say what happened last.
func TestNewestLinesAreKeptWhileTheOutputIsBlocked(t *testing.T) {
	g := gomega.NewWithT(t)
	out := &gatedBuffer{open: make(chan struct{})}
	log := decision.New(out, "vm")
	const goroutines, each = 8, 2000 // Several times what the queue holds.
	var group sync.WaitGroup
	for range goroutines {
		group.Go(func() {
			for range each {
				log.StateChange().Msg("backend server added")
			}
		})
	}
	group.Wait()
	log.StateChange().Msg("router stopped")
	close(out.open)
	g.Expect(log.Close()).To(gomega.Succeed())
	text := out.bytes.String()
	g.Expect(text).To(gomega.ContainSubstring("router stopped"))
	g.Expect(log.DroppedLines()).To(gomega.BeNumerically(">", 0))
	g.Expect(strings.Count(text, "\n") + int(log.DroppedLines())).To(gomega.Equal(goroutines*each + 1))
}

// gatedBuffer is a buffer whose writes block until it is opened.
type gatedBuffer struct {
	open chan struct{}
	lockedBuffer
}

func (b *gatedBuffer) Write(p []byte) (int, error) {
	<-b.open
	return b.lockedBuffer.Write(p)
}

// Guards against a writer that ends when the output fails.
func TestLinesAreWrittenAfterTheOutputFailed(t *testing.T) {
	g := gomega.NewWithT(t)
	out := &failingOnce{}
	log := decision.New(out, "vm")
	log.StateChange().Msg("table lost")
	log.StateChange().Msg("table regained")
	g.Expect(log.Close()).To(gomega.Succeed())
	g.Expect(out.bytes.String()).To(gomega.ContainSubstring("table regained"))
}

// failingOnce is a buffer whose first write fails.
type failingOnce struct {
	failed atomic.Bool
	lockedBuffer
}

func (b *failingOnce) Write(p []byte) (int, error) {
	if b.failed.CompareAndSwap(false, true) {
		return 0, errors.New("full")
	}
	return b.lockedBuffer.Write(p)
}

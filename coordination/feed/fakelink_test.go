package feed_test

import (
	"context"
	"time"

	"snipetally.example/coordination/feed"
)

const (
	// linkRate is the rate of a fakeLink in bytes a second, that of 10 Mbit/s.
	linkRate = 1_250_000

	// linkChunk is the number of bytes that a transfer sends before the next one
	// has its turn.
	linkChunk = 12_500
)

// fakeLink is a link of limited rate. Transfers at the same time share it.
type fakeLink struct {
	turn chan struct{}

	// sent is the number of bytes that the link carried. The holder of the turn
	// may use it.
	sent int
}

func newFakeLink() *fakeLink { return &fakeLink{turn: make(chan struct{}, 1)} }

// transfer carries a number of bytes, and returns early with an error if the
// context ends or stalled reports that nothing passes any more.
func (l *fakeLink) transfer(ctx context.Context, size int, received feed.Received, stalled func() bool) error {
	for size > 0 {
		if stalled() {
			<-ctx.Done()
		}
		if err := l.sendChunk(ctx, min(size, linkChunk)); err != nil {
			return err
		}
		received(min(size, linkChunk))
		size -= linkChunk
	}
	return nil
}

// sendChunk waits for the turn and then for the time that the bytes take.
func (l *fakeLink) sendChunk(ctx context.Context, size int) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case l.turn <- struct{}{}:
	}
	defer func() { <-l.turn }()
	l.sent += size
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Duration(size) * time.Second / linkRate):
		return nil
	}
}

// carried returns the number of bytes that the link carried.
func (l *fakeLink) carried() int {
	l.turn <- struct{}{}
	defer func() { <-l.turn }()
	return l.sent
}

package vm

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// leastPause is the least time between two reads of the list.
	leastPause = 2 * time.Second

	// byteBudget is the number of bytes a second that reads of the list may
	// cost one router. It stretches the time between reads of a long list.
	//
	// TODO(listing): at 12,400 VMs this reads the list every 20 minutes, so
	// that a backend server that the platform lets leave is then noticed by
	// its operator's command or by its failing only. A router that reads for
	// all and writes what is leaving as a revision would keep the bound.
	byteBudget = 1 << 10
)

// Reader reads the list. *Client is one.
type Reader interface {
	Read(ctx context.Context) (*List, error)
}

// Watcher keeps the newest list.
type Watcher struct {
	reader Reader
	notify func(leaving map[string]struct{})

	// mu guards newest.
	mu     sync.Mutex
	newest *List
}

// NewWatcher returns a watch. Notify is called after each read with the addresses
// of the VMs that are leaving.
func NewWatcher(reader Reader, notify func(leaving map[string]struct{})) *Watcher {
	return &Watcher{reader: reader, notify: notify}
}

// Run reads the list until the context ends. While the list can't be read, what
// it said last stays.
func (w *Watcher) Run(ctx context.Context) error {
	for {
		list, err := w.read(ctx)
		if err == nil {
			w.notify(list.leaving())
		}
		timer := time.NewTimer(pause(list))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
	}
}

// pause returns the time until the next read.
func pause(list *List) time.Duration {
	if list == nil {
		return leastPause
	}
	return max(leastPause, time.Duration(list.ResponseBytes)*time.Second/byteBudget)
}

// Latest returns the newest list that was read. It reads the list if none was.
func (w *Watcher) Latest(ctx context.Context) (*List, error) {
	w.mu.Lock()
	newest := w.newest
	w.mu.Unlock()
	if newest != nil {
		return newest, nil
	}
	return w.read(ctx)
}

func (w *Watcher) read(ctx context.Context) (*List, error) {
	list, err := w.reader.Read(ctx)
	if err != nil {
		return nil, fmt.Errorf("watch VM list: %w", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.newest == nil || !list.At.Before(w.newest.At) {
		w.newest = list
	}
	return w.newest, nil
}

// leaving returns the addresses of the VMs that are leaving.
func (l *List) leaving() map[string]struct{} {
	addresses := make(map[string]struct{})
	for _, vm := range l.VMs {
		if vm.State == Leaving {
			addresses[vm.Address] = struct{}{}
		}
	}
	return addresses
}

package vm

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// minReadInterval is the minimum time between two reads of the list.
	minReadInterval = 2 * time.Second

	// maxBytesPerSecond is the average number of bytes per second that a router may
	// spend on reading the list. It lengthens the interval between reads of a long
	// list.
	//
	// TODO(listing): With 12,400 VMs the list is read every 20 minutes, so that a
	// leaving backend server is noticed only through its operator's command or by
	// its failures. A single router that reads the list for all routers and writes
	// the leaving servers as a revision would keep that delay bounded.
	maxBytesPerSecond = 1 << 10
)

// Reader reads the VM list. *Client implements it.
type Reader interface {
	Read(ctx context.Context) (*List, error)
}

// Watcher polls the VM list and keeps the newest version.
type Watcher struct {
	reader Reader
	notify func(leaving map[string]struct{})

	// mu guards newest.
	mu     sync.Mutex
	newest *List
}

// NewWatcher returns a watcher. It calls notify after each successful read with
// the addresses of the leaving VMs.
func NewWatcher(reader Reader, notify func(leaving map[string]struct{})) *Watcher {
	return &Watcher{reader: reader, notify: notify}
}

// Run polls the list until ctx is canceled. While the list can't be read, the last
// version stays valid.
func (w *Watcher) Run(ctx context.Context) error {
	for {
		list, err := w.read(ctx)
		if err == nil {
			w.notify(list.leaving())
		}
		timer := time.NewTimer(readInterval(list))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
	}
}

// readInterval returns the time until the next read. List is nil if the last read
// failed.
func readInterval(list *List) time.Duration {
	if list == nil {
		return minReadInterval
	}
	return max(minReadInterval, time.Duration(list.ResponseBytes)*time.Second/maxBytesPerSecond)
}

// Latest returns the newest list. It reads the list if none has been read yet.
func (w *Watcher) Latest(ctx context.Context) (*List, error) {
	w.mu.Lock()
	newest := w.newest
	w.mu.Unlock()
	if newest != nil {
		return newest, nil
	}
	return w.read(ctx)
}

// read reads the list and returns the newest version, which is the previous one if
// the response is older.
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

// leaving returns the addresses of the leaving VMs.
func (l *List) leaving() map[string]struct{} {
	addresses := make(map[string]struct{})
	for _, vm := range l.VMs {
		if vm.State == Leaving {
			addresses[vm.Address] = struct{}{}
		}
	}
	return addresses
}

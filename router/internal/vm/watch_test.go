package vm_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/onsi/gomega"

	"snipetally.example/router/internal/vm"
)

// fakeReader returns a fixed list or error and counts reads.
type fakeReader struct {
	list  *vm.List
	err   error
	reads int
}

func (r *fakeReader) Read(context.Context) (*vm.List, error) {
	r.reads++
	return r.list, r.err
}

// listWithLeavingServer returns a list with one live and one leaving VM, as of now,
// from a response of the given size in bytes.
func listWithLeavingServer(bytes int) *vm.List {
	return &vm.List{At: time.Now(), ResponseBytes: bytes, VMs: []vm.VM{
		{Name: "a", Address: "10.0.0.1:1", State: vm.Live},
		{Name: "b", Address: "10.0.0.2:1", State: vm.Leaving},
	}}
}

func TestLeavingServerReportedWithinFiveSecondsAndKeptDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		r := &fakeReader{list: &vm.List{At: time.Now(), ResponseBytes: 3000}}
		var leaving map[string]struct{}
		watcher := vm.NewWatcher(r, func(addresses map[string]struct{}) { leaving = addresses })
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = watcher.Run(ctx) }()
		synctest.Wait()
		g.Expect(leaving).To(gomega.BeEmpty())

		r.list = listWithLeavingServer(3000)
		time.Sleep(5 * time.Second)
		g.Expect(leaving).To(gomega.HaveKey("10.0.0.2:1"))
		g.Expect(leaving).To(gomega.HaveLen(1))

		r.list, r.err = nil, errors.New("unreachable")
		time.Sleep(time.Minute)
		g.Expect(leaving).To(gomega.HaveKey("10.0.0.2:1"))
		newest, err := watcher.Latest(t.Context())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(newest.VMs).To(gomega.HaveLen(2))
	})
}

func TestLongListReadWithinByteBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		const bytes, budget = 1 << 20, 1 << 10
		r := &fakeReader{list: listWithLeavingServer(bytes)}
		watcher := vm.NewWatcher(r, func(map[string]struct{}) {})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = watcher.Run(ctx) }()
		const span = 2 * time.Hour
		time.Sleep(span)
		g.Expect(r.reads * bytes).To(gomega.BeNumerically("<=", budget*span.Seconds()+bytes))
		g.Expect(r.reads).To(gomega.BeNumerically(">", 1))
	})
}

package notice_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/notice"
	"snipetally.example/router/internal/placement"
)

// board notes who was heard.
type board struct {
	number uint32

	mu    sync.Mutex
	heard map[uint32]placement.LoadReport
}

func (b *board) Note(time.Time) placement.LoadReport {
	return placement.LoadReport{
		Loads: []placement.ServerLoad{{
			Server: b.number, Load: placement.Load{Queued: []placement.QueuedTokens{{Priority: 2, Tokens: 1000}}, Running: 3, FailureRate: 0.5},
		}},
		Demands: []placement.ServiceDemand{{
			Service: 7, Urgent: placement.GroupDemand{Prefill: 0.5}, Patient: placement.GroupDemand{Slots: 2},
			TokenRate: 4000, PrefillSpeed: 80000, Samples: 9, UrgentServers: 3, Servers: 8,
		}},
		Uses: []placement.SessionUse{{Session: 5, Server: b.number}},
	}
}

func (b *board) Hear(_ time.Time, _ string, note placement.LoadReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heard[note.Loads[0].Server] = note
}

func (b *board) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.heard)
}

// free returns a free port of an address of the loopback network that no other
// test is likely to use.
func free(t *testing.T) netip.AddrPort {
	t.Helper()
	host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	var listen net.ListenConfig
	conn, err := listen.ListenPacket(t.Context(), "udp4", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// TestRoutersFindEachOtherFromOneSeed starts routers that know the first one
// only. All hear each other's notes in the end.
func TestRoutersFindEachOtherFromOneSeed(t *testing.T) {
	g := gomega.NewWithT(t)
	const routers = 5
	seed := free(t)
	var boards []*board
	var exchanges []*notice.Broadcaster
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for i := range routers {
		b := &board{number: uint32(i), heard: make(map[uint32]placement.LoadReport)}
		address := seed
		if i > 0 {
			address = free(t)
		}
		age := time.Duration(i) * time.Hour
		e := notice.New(notice.Config{
			Address: address, Seeds: []netip.AddrPort{seed}, Balancer: b,
			PlanAge: func() time.Duration { return age }, ReportError: func(error) {},
		})
		boards, exchanges = append(boards, b), append(exchanges, e)
		running.Go(func() { _ = e.Run(ctx) })
	}
	for _, b := range boards {
		for b.count() < routers-1 {
			time.Sleep(time.Millisecond)
		}
	}
	g.Expect(exchanges[4].AnyFresherPlan(time.Minute)).To(gomega.BeTrue(), "the first router's plan is new")
	g.Expect(exchanges[0].AnyFresherPlan(time.Minute)).To(gomega.BeFalse(), "all others have old ones")
	cancel()
	running.Wait()
	g.Expect(boards[1].heard[0]).To(gomega.Equal(boards[0].Note(time.Time{})))
}

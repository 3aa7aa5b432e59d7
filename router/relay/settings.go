package relay

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"
)

// reloadInterval is the interval at which the settings are read, as they
// may change without a signal.
const reloadInterval = 5 * time.Second

// Settings are the settings that may change while a node runs.
type Settings struct {
	Bounds Bounds

	// PeerSeeds are the addresses of some of the other routers.
	PeerSeeds []netip.AddrPort

	// Errors are faults with which the node can still run. They are logged.
	Errors []error
}

// followSettings reloads the settings on SIGHUP and periodically until the
// context ends. SIGHUP never ends the process.
func (n *Node) followSettings(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return fmt.Errorf("follow settings: %w", ctx.Err())
		case <-signals:
			n.log.StateChange().Msg("reloading settings on SIGHUP")
		case <-ticker.C:
		}
		n.reload()
	}
}

// reload reads the settings and puts in force what has changed. If they can't be
// read, the current ones stay.
func (n *Node) reload() {
	if n.config.Reload == nil {
		return
	}
	next, err := n.config.Reload()
	if err != nil {
		n.log.RepeatedFailure(time.Now(), "settings", err).Msg("settings can't be used")
		return
	}
	for _, problem := range next.Errors {
		n.log.RepeatedFailure(time.Now(), "settings", problem).Msg("settings partly invalid")
	}
	n.changeBounds(next.Bounds)
	n.changeSeeds(next.PeerSeeds)
}

// changeBounds puts bounds in force. In the line that it logs, the keys
// revocation, drain and grace hold durations in milliseconds, ratio the ratio of
// retries to requests, and extra the retries beyond it of all routers.
func (n *Node) changeBounds(next Bounds) {
	if next == *n.relay.bounds.Load() {
		return
	}
	n.relay.setBounds(next)
	n.log.StateChange().Dur("revocation", next.MaxRevocationDelay).Dur("drain", next.DrainTimeout).Dur("grace", next.GracePeriod).
		Float64("ratio", next.RetryRatio).Float64("extra", next.RetryExtra).Msg("settings changed")
}

// changeSeeds puts seeds in force. The routers that are known stay known.
func (n *Node) changeSeeds(next []netip.AddrPort) {
	if slices.Equal(next, n.peerSeeds()) {
		return
	}
	n.seeds.Store(&next)
	n.log.StateChange().Strs("seeds", addressNames(next)).Msg("seeds changed")
}

// peerSeeds returns the seeds in force. The slice must not be changed.
func (n *Node) peerSeeds() []netip.AddrPort { return *n.seeds.Load() }

// addressNames returns addresses as text.
func addressNames(addresses []netip.AddrPort) []string {
	names := make([]string, 0, len(addresses))
	for _, address := range addresses {
		names = append(names, address.String())
	}
	return names
}

package relay

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// reloadInterval is the interval at which the settings are read, as they
// may change without a signal.
const reloadInterval = 5 * time.Second

// followSettings reloads the bounds on SIGHUP and periodically until the
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

// reload reads the bounds and puts them in force if they changed. If the
// settings can't be read, the current bounds stay. In the line that it logs, the
// keys revocation, drain and grace hold durations in milliseconds, ratio the ratio
// of retries to requests, and extra the retries beyond it of all routers.
func (n *Node) reload() {
	if n.config.Reload == nil {
		return
	}
	next, err := n.config.Reload()
	if err != nil {
		n.log.RepeatedFailure(time.Now(), "settings", err).Msg("settings can't be used")
		return
	}
	if next == *n.relay.bounds.Load() {
		return
	}
	n.relay.setBounds(next)
	n.log.StateChange().Dur("revocation", next.MaxRevocationDelay).Dur("drain", next.DrainTimeout).Dur("grace", next.GracePeriod).
		Float64("ratio", next.RetryRatio).Float64("extra", next.RetryExtra).Msg("settings changed")
}

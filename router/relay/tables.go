package relay

import (
	"time"

	"snipetally.example/coordination/feed"
)

const (
	// planWatchFraction is the fraction of the maximum revocation delay for
	// which a watch of the plan waits. Together with the timeout of the watch
	// and a second call, the age of the plan stays below the bound if one
	// response is lost.
	planWatchFraction = 0.5

	// maxWatchWait bounds the wait of a watch, also without a maximum
	// revocation delay. It is long because each call has a cost; a silent
	// connection is noticed sooner by keep-alive probes.
	maxWatchWait = 8 * time.Second

	// planBatchDelay is the time for which changes of the plan are batched.
	// serverBatchFraction is the fraction of the drain timeout for which
	// changes of servers are batched, so that a draining server gets no more
	// requests well before its drain timeout ends. defaultServerBatchDelay is
	// used without a drain timeout.
	planBatchDelay          = 50 * time.Millisecond
	serverBatchFraction     = 0.4
	defaultServerBatchDelay = 500 * time.Millisecond

	// serverLapseGrace is how long after an outage of the table a server whose
	// entry expired during it has time to register again.
	serverLapseGrace = 2 * time.Second

	// serverRemovalGraceFraction is the fraction of the drain timeout for which
	// a server is kept whose entry disappears within serverLapseGrace after an
	// outage, but after the first response from the table.
	serverRemovalGraceFraction = 0.35
)

// planWatchWait returns how long a watch of the plan waits.
func planWatchWait(bounds Bounds) time.Duration {
	if bounds.MaxRevocationDelay == 0 {
		return maxWatchWait
	}
	return min(time.Duration(planWatchFraction*float64(bounds.MaxRevocationDelay)), maxWatchWait)
}

// serverBatchDelay returns for how long changes of servers are batched.
func serverBatchDelay(bounds Bounds) time.Duration {
	if bounds.DrainTimeout == 0 {
		return defaultServerBatchDelay
	}
	return time.Duration(serverBatchFraction * float64(bounds.DrainTimeout))
}

// applyPlans installs the newest plan.
func (n *Node) applyPlans(plans map[string]Plan) {
	for _, plan := range plans {
		n.relay.installPlan(plan)
	}
}

// feedReporter returns a function that logs the events of a table's follower.
// The keys hold durations in milliseconds: away, how long the table was
// unavailable; open, how long the failed call had been in progress; and age, the
// time since the copy of the table was last known to be current.
func (n *Node) feedReporter(table string) func(feed.Event) {
	return func(e feed.Event) {
		switch {
		case e.Lost:
			n.log.Failure(e.Err).Str("table", table).Dur("open", e.Open).Dur("age", e.Age).Msg("table lost")
		case e.Regained:
			n.log.StateChange().Str("table", table).Dur("away", e.Outage).Dur("age", e.Age).Msg("table regained")
		case e.Compacted:
			n.log.StateChange().Str("table", table).Dur("age", e.Age).Msg("table read again")
		default:
			n.log.RepeatedFailure(time.Now(), table+" "+e.Key, e.Err).Str("table", table).Str("key", e.Key).Msg("row can't be used")
		}
	}
}

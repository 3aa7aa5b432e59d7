package relay

import (
	"time"

	"snipetally.example/coordination/feed"
)

const (
	// watchWait is the wait of a watch. It is long because each call has a cost.
	// A silent connection is noticed sooner, as the copies of the tables are
	// checked.
	watchWait = 8 * time.Second

	// unprovedFraction is the fraction of the delay with which a change has to
	// be in force for which the copy of a table may go without a proof that it is
	// current. The rest of the delay covers a check that is lost and a request on
	// its way to a server. defaultMaxUnproved is used if the delay is not known.
	unprovedFraction   = 0.4
	defaultMaxUnproved = time.Second

	// blindHeartbeats is the largest number of heartbeats for which a router may
	// not look at a table, so that silent connections are not taken for an outage
	// in which entries lapse.
	blindHeartbeats = 0.6

	// planBatchDelay is the time for which changes of the plan are batched.
	// serverBatchFraction is the fraction of the drain timeout for which
	// changes of servers are batched, so that a draining server gets no more
	// requests well before its drain timeout ends. defaultServerBatchDelay is
	// used without a drain timeout.
	planBatchDelay          = 50 * time.Millisecond
	serverBatchFraction     = 0.35
	defaultServerBatchDelay = 500 * time.Millisecond

	// rereadSpreadFraction is the fraction of the delay of a plan over which routers
	// spread their reads after the store came back from an older copy. The list of
	// servers, which is far longer, is read within the batching delay.
	rereadSpreadFraction = 0.1

	// serverLapseGrace is how long after an outage of the table a server whose
	// entry expired during it has time to register again.
	serverLapseGrace = 2 * time.Second

	// lapseHeartbeats is the length of the shortest outage in which an entry can
	// lapse, in heartbeats. Entries lapse after three intervals without a
	// heartbeat, and the last one may have come somewhat more than an interval
	// before the outage.
	lapseHeartbeats = 1.8

	// serverRemovalGraceFraction is the fraction of the drain timeout for which
	// a server is kept whose entry disappears within serverLapseGrace after an
	// outage, but after the first response from the table.
	serverRemovalGraceFraction = 0.35
)

// planDelay returns the delay with which a change of the plan has to be in force:
// the shorter of those for keys and for all else that is set, or zero.
func planDelay(bounds Bounds) time.Duration {
	if bounds.MaxPlanDelay == 0 || bounds.MaxRevocationDelay == 0 {
		return max(bounds.MaxPlanDelay, bounds.MaxRevocationDelay)
	}
	return min(bounds.MaxPlanDelay, bounds.MaxRevocationDelay)
}

// maxUnproved returns for how long the copy of a table may go without a proof
// that it is current.
func maxUnproved(maxDelay, heartbeat time.Duration) time.Duration {
	limit := defaultMaxUnproved
	if maxDelay > 0 {
		limit = time.Duration(unprovedFraction * float64(maxDelay))
	}
	return limitBlindness(limit, heartbeat)
}

// limitBlindness bounds a time for which a router does not look at a table by
// the heartbeat interval, if that is known.
func limitBlindness(d, heartbeat time.Duration) time.Duration {
	if heartbeat == 0 {
		return d
	}
	return min(d, time.Duration(blindHeartbeats*float64(heartbeat)))
}

// serverBatchDelay returns for how long changes of servers are batched.
func serverBatchDelay(drainTimeout, heartbeat time.Duration) time.Duration {
	delay := defaultServerBatchDelay
	if drainTimeout > 0 {
		delay = time.Duration(serverBatchFraction * float64(drainTimeout))
	}
	return limitBlindness(delay, heartbeat)
}

// followTables creates the followers of the tables.
func (n *Node) followTables() {
	plans := feed.Config[Plan]{
		Source:      n.config.Plans,
		Clock:       n.config.Clock,
		Eras:        n.config.Eras,
		WatchWait:   watchWait,
		WatchPause:  planBatchDelay,
		MaxUnproved: maxUnproved(planDelay(n.config.Bounds), n.config.Heartbeat),
		ReadMissed:  true,
		Apply:       n.applyPlans,

		RereadSpread: fractionOf(planDelay(n.config.Bounds), rereadSpreadFraction),

		OnEvent:    n.feedReporter("plan"),
		OnCall:     n.callReporter("plan"),
		OnResponse: func(call feed.Call, covered feed.Proof) { n.shareProof(n.servers, call, covered) },
	}
	servers := feed.Config[Server]{
		Source:       n.config.Servers,
		Clock:        n.config.Clock,
		Eras:         n.config.Eras,
		RereadSpread: serverBatchDelay(n.config.Bounds.DrainTimeout, n.config.Heartbeat),
		WatchWait:    watchWait,
		WatchPause:   serverBatchDelay(n.config.Bounds.DrainTimeout, n.config.Heartbeat),
		MaxUnproved:  maxUnproved(n.config.Bounds.DrainTimeout, n.config.Heartbeat),
		LapseGrace:   serverLapseGrace,
		LapseTime:    time.Duration(lapseHeartbeats * float64(n.config.Heartbeat)),
		RemovalGrace: time.Duration(serverRemovalGraceFraction * float64(n.config.Bounds.DrainTimeout)),
		Apply:        func(rows map[string]Server, era int64) { n.relay.installServers(rows, era) },
		OnEvent:      n.feedReporter("servers"),
		OnCall:       n.callReporter("servers"),
		OnResponse:   func(call feed.Call, covered feed.Proof) { n.shareProof(n.plans, call, covered) },
	}
	if n.servesIndirectCalls() {
		plans.Indirect = indirectTable(n, n.config.PeerTables.Plans)
		servers.Indirect = indirectTable(n, n.config.PeerTables.Servers)
	}
	n.plans, n.servers = feed.NewFollower(plans), feed.NewFollower(servers)
}

// applyPlans installs the newest plan.
func (n *Node) applyPlans(plans map[string]Plan, _ int64) {
	for _, plan := range plans {
		n.relay.installPlan(plan)
	}
}

// feedReporter returns a function that logs the events of a table's follower.
// The keys hold durations in milliseconds: away, how long the table was
// unavailable; open, how long the failed call had been in progress; and age, the
// time since the copy of the table was last known to be current. received holds how
// many bytes of the failed call's response had arrived. After the store came back from an
// older copy, rows holds the number of rows that were read, kept that of rows which it
// lacks and that stay for a while, and delay the time since the new era was noticed.
func (n *Node) feedReporter(table string) func(feed.Event) {
	return func(e feed.Event) {
		switch {
		case e.Restored:
			n.log.StateChange().Str("table", table).Int64("era", e.Era).Int("rows", e.Rows).Int("kept", e.Kept).
				Dur("delay", e.Outage).Dur("age", e.Age).Msg("store restored, table read again")
		case e.Lost:
			n.log.Failure(e.Err).Str("table", table).Dur("open", e.Open).Int64("received", e.Bytes).
				Dur("age", e.Age).Msg("table lost")
		case e.Regained:
			n.log.StateChange().Str("table", table).Dur("away", e.Outage).Dur("age", e.Age).Msg("table regained")
		case e.Silent:
			n.log.StateChange().Str("table", table).Dur("open", e.Open).Int64("received", e.Bytes).
				Dur("age", e.Age).Msg("watch was silent")
		case e.Indirect:
			n.log.RepeatedFailure(time.Now(), table+" indirect", e.Err).Str("table", table).Msg("indirect call failed")
		case e.Compacted:
			n.log.StateChange().Str("table", table).Dur("age", e.Age).Msg("table read again")
		default:
			n.log.RepeatedFailure(time.Now(), table+" "+e.Key, e.Err).Str("table", table).Str("key", e.Key).Msg("row can't be used")
		}
	}
}

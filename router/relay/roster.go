package relay

import (
	"net/netip"
	"time"

	"snipetally.example/router/internal/roster"
)

// useRoster creates the list of routers in the store.
func (n *Node) useRoster() {
	n.roster = roster.New(roster.Config{
		Address:   n.config.PeerAddress,
		Store:     n.config.Routers,
		Live:      n.broadcaster.Live,
		Introduce: n.introduce,
		OnListed:  n.logListed,

		// Routers that this one doesn't hear may have saved verdicts, too.
		OnReadAgain: n.quarantine.ReadAgain,
		ReportError: func(err error) {
			n.log.RepeatedFailure(time.Now(), "roster", err).Msg("list of routers not usable")
		},
	})
}

// introduce sends reports to routers that are listed and not heard.
func (n *Node) introduce(routers []netip.AddrPort) {
	n.broadcaster.Introduce(routers)
	n.log.StateChange().Strs("routers", addressNames(routers)).Msg("listed routers not heard")
}

// logListed logs that this router has added itself to the list of routers. The key replaced
// holds the router that was listed there before, if any.
func (n *Node) logListed(replaced netip.AddrPort) {
	event := n.log.StateChange()
	if replaced.IsValid() {
		event = event.Stringer("replaced", replaced)
	}
	event.Msg("router added to list of routers")
}

// Package dump defines the state dump of a router process: its view of the cluster
// and its current activity. The dump never contains a key, prompt or response. The
// package imports the packages whose plain state it shows.
package dump

import (
	"time"

	"snipetally.example/coordination/membership"
	"snipetally.example/coordination/spread"
)

// State is the state of a process at a point in time.
type State struct {
	At       time.Time
	Started  time.Time
	VM       string
	Zone     string
	Region   string
	Revision uint64
	Preset   string

	// Holders is the number of references to the newest fleet snapshot,
	// including that of the fleet store.
	Holders int64
	Ready   bool

	// Closing is set once the router has been asked to stop.
	Closing bool

	// Inside is the number of requests in progress.
	Inside     int
	Goroutines int

	// Memory is the size in bytes of heap objects that are live or not yet
	// collected.
	Memory uint64

	Report  spread.Report
	Spread  spread.Stats
	Members membership.Stats

	// Parts are the states of the other components of the process.
	Parts []Part
}

// Part is the state of one component of the process, as plain data.
type Part struct {
	Name  string
	State any
}

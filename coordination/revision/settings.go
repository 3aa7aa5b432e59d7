package revision

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	defaultBatch        = 128
	defaultWait         = 20 * time.Millisecond
	defaultRowsSecond   = 40
	defaultPatience     = 20 * time.Second
	defaultCompactAfter = 1000
	defaultKeepLog      = 15 * time.Minute
	defaultKeepRemoved  = 24 * time.Hour

	// rowBytes bounds the rows of the log and of snapshots. The platform takes
	// rows of up to 256 KiB.
	rowBytes = 192 << 10

	// maxCommandBytes bounds the entry of one command.
	maxCommandBytes = 128 << 10

	// rowsAtOnce is the number of rows that may be written without a pause, and
	// the largest number of rows that one transaction removes.
	rowsAtOnce = 16

	// pageRows is the number of rows in one answer of the table.
	pageRows = 16

	queueLength  = 4096
	loadAttempts = 8
	longestPause = 500 * time.Millisecond
	firstPause   = 10 * time.Millisecond
	compactPause = time.Minute
)

// Settings configure a Store. Zero fields take defaults.
type Settings struct {
	// Prefix starts the keys of all rows of the store.
	Prefix string

	// MaxBatch is the largest number of commands in one transaction.
	MaxBatch int

	// BatchDelay is how long a command waits for others to share its transaction.
	BatchDelay time.Duration

	// RowsPerSecond bounds the rows that the process writes or removes a second,
	// beyond a burst of 16 rows. A transaction of commands writes two rows.
	RowsPerSecond float64

	// CommitTimeout bounds how long a command that was taken up is tried.
	CommitTimeout time.Duration

	// CompactAfter is the number of entries after which a snapshot is stored.
	CompactAfter int

	// LogRetention is how long entries stay in the log after a compaction. Tokens
	// are recognized for that long, and pollers that are behind by less read
	// entries in place of the snapshot.
	LogRetention time.Duration

	// TombstoneRetention is how long the author of a removal stays known.
	TombstoneRetention time.Duration
}

// withDefaults fills in zero fields.
func (s Settings) withDefaults() Settings {
	fill(&s.Prefix, "revision/")
	fill(&s.MaxBatch, defaultBatch)
	fill(&s.BatchDelay, defaultWait)
	fill(&s.RowsPerSecond, defaultRowsSecond)
	fill(&s.CommitTimeout, defaultPatience)
	fill(&s.CompactAfter, defaultCompactAfter)
	fill(&s.LogRetention, defaultKeepLog)
	fill(&s.TombstoneRetention, defaultKeepRemoved)
	return s
}

// fill sets target to value if it is zero.
func fill[T comparable](target *T, value T) {
	var zero T
	if *target == zero {
		*target = value
	}
}

// headKey is the key of the head row.
func (s Settings) headKey() string { return s.Prefix + "head" }

// logPrefix starts the keys of log rows.
func (s Settings) logPrefix() string { return s.Prefix + "log/" }

// logKey is the key of the log row whose last entry has the revision. Keys
// sort like revisions.
func (s Settings) logKey(last uint64) string {
	return fmt.Sprintf("%s%020d", s.logPrefix(), last)
}

// snapshotPrefix starts the keys of the rows of all snapshots.
func (s Settings) snapshotPrefix() string { return s.Prefix + "snapshot/" }

// partKey is the key of one row of a snapshot.
func (s Settings) partKey(revision uint64, generation string, part int) string {
	return fmt.Sprintf("%s%020d/%s/%06d", s.snapshotPrefix(), revision, generation, part)
}

// revisionOf returns the revision in the key of a log or snapshot row.
func revisionOf(key, prefix string) (uint64, bool) {
	digits, _, _ := strings.Cut(strings.TrimPrefix(key, prefix), "/")
	revision, err := strconv.ParseUint(digits, 10, 64)
	return revision, err == nil
}

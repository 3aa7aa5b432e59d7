package revision

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	defaultMaxBatch           = 128
	defaultBatchDelay         = 20 * time.Millisecond
	defaultRowsPerSecond      = 40
	defaultCommitTimeout      = 20 * time.Second
	defaultCompactAfter       = 1000
	defaultLogRetention       = 15 * time.Minute
	defaultTombstoneRetention = 24 * time.Hour

	// maxRowBytes bounds log rows and snapshot rows. The platform accepts rows of
	// up to 256 KiB.
	maxRowBytes = 192 << 10

	// maxCommandBytes bounds the encoded entry of one command.
	maxCommandBytes = 128 << 10

	// rowBurst is the burst size of the row rate limit, and the largest number of
	// rows that one transaction removes.
	rowBurst = 16

	// pageSize is the largest number of rows in one read or list of the table.
	pageSize = 16

	// queueLength is the number of commands that can be queued for Run.
	queueLength = 4096

	maxLoadAttempts   = 8
	maxBackoff        = 500 * time.Millisecond
	initialBackoff    = 10 * time.Millisecond
	compactRetryDelay = time.Minute
)

// Config configures a Store. Zero fields take defaults.
type Config struct {
	// Prefix is the prefix of the keys of all rows of the store.
	Prefix string

	// MaxBatch is the largest number of commands in one transaction.
	MaxBatch int

	// BatchDelay is how long the first command of a batch waits for others to
	// share its transaction.
	BatchDelay time.Duration

	// RowsPerSecond limits the rows that the store writes or removes per second,
	// with bursts of up to 16 rows. A transaction of commands writes two rows.
	RowsPerSecond float64

	// CommitTimeout bounds the retries of a batch of commands, and separately the
	// time of one compaction.
	CommitTimeout time.Duration

	// CompactAfter is the number of entries after the stored snapshot at which a
	// new one is stored.
	CompactAfter int

	// LogRetention is the age at which a compaction removes entries from the log
	// that its snapshot covers. Tokens are recognized for that long, and pollers
	// that are behind by less read entries instead of the snapshot.
	LogRetention time.Duration

	// TombstoneRetention is the age at which a compaction discards the tombstone
	// of a removed document, and with it the author of the removal.
	TombstoneRetention time.Duration
}

// withDefaults returns the config with defaults in place of zero fields.
func (c Config) withDefaults() Config {
	setDefault(&c.Prefix, "revision/")
	setDefault(&c.MaxBatch, defaultMaxBatch)
	setDefault(&c.BatchDelay, defaultBatchDelay)
	setDefault(&c.RowsPerSecond, defaultRowsPerSecond)
	setDefault(&c.CommitTimeout, defaultCommitTimeout)
	setDefault(&c.CompactAfter, defaultCompactAfter)
	setDefault(&c.LogRetention, defaultLogRetention)
	setDefault(&c.TombstoneRetention, defaultTombstoneRetention)
	return c
}

// setDefault sets *target to value if it is zero.
func setDefault[T comparable](target *T, value T) {
	var zero T
	if *target == zero {
		*target = value
	}
}

// headKey returns the key of the head row.
func (c Config) headKey() string { return c.Prefix + "head" }

// logPrefix returns the prefix of the keys of log rows.
func (c Config) logPrefix() string { return c.Prefix + "log/" }

// logKey returns the key of the log row whose last entry has the revision last.
// Keys sort in the order of revisions.
func (c Config) logKey(last uint64) string {
	return fmt.Sprintf("%s%020d", c.logPrefix(), last)
}

// snapshotPrefix returns the prefix of the keys of the rows of all snapshots.
func (c Config) snapshotPrefix() string { return c.Prefix + "snapshot/" }

// partKey returns the key of one row of a snapshot.
func (c Config) partKey(revision uint64, generation string, part int) string {
	return fmt.Sprintf("%s%020d/%s/%06d", c.snapshotPrefix(), revision, generation, part)
}

// revisionOf parses the revision in the key of a log or snapshot row.
func revisionOf(key, prefix string) (uint64, bool) {
	digits, _, _ := strings.Cut(strings.TrimPrefix(key, prefix), "/")
	revision, err := strconv.ParseUint(digits, 10, 64)
	return revision, err == nil
}

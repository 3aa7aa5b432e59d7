package record

import "snipetally.example/coordination/table"

// Entry is a conditional write of one record. It is idempotent: a place that
// already names Attempt counts as written.
type Entry struct {
	// Partner, Row and Slot tell the place.
	Partner string
	Row     string
	Slot    string
	Value   []byte

	// Version is that of a row of its own before the write. Rows of windows
	// are never replaced and have none.
	Version uint64

	// Replaces is the attempt that the record names before the write. It is empty
	// if there is no record.
	Replaces string
	Attempt  string
}

// CommitResult tells what became of an entry.
type CommitResult uint8

const (
	// CommitUncertain says that the entry may take effect, now or later.
	CommitUncertain CommitResult = iota

	// CommitApplied says that the row names the attempt of the entry.
	CommitApplied

	// CommitConflict says that the row names another attempt, and that the
	// entry can't take effect any more.
	CommitConflict

	// CommitRejected says that the entry did not and will not take effect.
	CommitRejected

	// CommitClaimed says that the entry will not take effect, because the
	// home knows of another attempt for the place that may not be recorded yet.
	CommitClaimed
)

// judgeRow compares a row with the entry that was to be written to it. A row
// that still has the version that the entry checks for decides nothing,
// because a commit whose answer was lost may yet arrive.
func judgeRow(entry *Entry, row *table.Row) CommitResult {
	if row.Version == entry.Version {
		return CommitUncertain
	}
	if row.Version != 0 {
		if s, err := decodeRecord(row.Value); err == nil && s.attempt == entry.Attempt {
			return CommitApplied
		}
	}
	return CommitConflict
}

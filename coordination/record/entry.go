package record

import "snipetally.example/coordination/table"

// Entry is a conditional write of one record. It is idempotent: if the record
// at the location already names Attempt, the entry counts as written.
type Entry struct {
	// Partner, Row and Slot are the location of the record.
	Partner string
	Row     string
	Slot    string
	Value   []byte

	// Version is the version that the row must have before the write, if the
	// record has its own row. Rows of windows are never replaced and have none.
	Version uint64

	// Replaces is the attempt that the record must name before the write. It is
	// empty if there must be no record.
	Replaces string
	Attempt  string
}

// CommitResult is the result of committing an entry.
type CommitResult uint8

const (
	// CommitUncertain means that the entry may take effect, now or later.
	CommitUncertain CommitResult = iota

	// CommitApplied means that the record names the attempt of the entry.
	CommitApplied

	// CommitConflict means that the record names another attempt, and that the
	// entry can't take effect any more.
	CommitConflict

	// CommitRejected means that the entry did not and will not take effect.
	CommitRejected

	// CommitClaimed means that the entry will not take effect, because the home
	// knows of another attempt for the location that may not be recorded yet.
	CommitClaimed
)

// compareRow compares a row with the entry that was to be written to it. A row
// that still has the version that the entry checks for is uncertain, because a
// commit whose response was lost may still arrive.
func compareRow(entry *Entry, row *table.Row) CommitResult {
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

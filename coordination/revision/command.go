package revision

import (
	"fmt"
	"time"

	"github.com/juju/errors"
)

const (
	// ErrInvalid means that a command is malformed and can never be accepted.
	ErrInvalid = errors.ConstError("invalid command")

	// ErrUnknownBase means that the base of a command is newer than the newest
	// revision.
	ErrUnknownBase = errors.ConstError("base revision does not exist")
)

// Command is a request to change documents. Base is the revision of the
// snapshot that the changes were based on. Token is an idempotency key: all
// repetitions of a command carry the token of the first, and no two commands
// share one.
type Command struct {
	Author  string
	Token   string
	Base    uint64
	Changes []Change

	// Check validates the snapshot that the command would produce; its error
	// rejects the command. It may be nil. It is called again if other commands
	// are committed first, and must neither keep nor change the snapshot.
	Check func(*Snapshot) error
}

// Outcome is the result of an accepted command. Repeated means that an earlier
// copy of the command had been accepted; Revision is then the revision of that
// copy.
type Outcome struct {
	Revision uint64
	Repeated bool
}

// SupersededError rejects a command because a document that it changes was
// written after its base. Author is empty if the document does not exist and
// its tombstone, if there was one after the base, may have been discarded.
// Revision is then the revision up to which tombstones may be missing.
type SupersededError struct {
	Document string
	Revision uint64
	Author   string
	Base     uint64
}

// Error implements error.
func (e *SupersededError) Error() string {
	if e.Author == "" {
		return fmt.Sprintf("document %q may have been removed up to revision %d, after base %d", e.Document, e.Revision, e.Base)
	}
	return fmt.Sprintf("document %q was written by %q at revision %d, after base %d", e.Document, e.Author, e.Revision, e.Base)
}

// decision is the result of checking a command against the state.
type decision struct {
	// final means that outcome and err are the result of the command; otherwise
	// the command may be written as the next entry.
	final   bool
	outcome Outcome
	err     error
}

// decide returns the decision on a command. A final decision holds in all later
// states.
func (s *state) decide(command Command) decision {
	if a, ok := s.tokens[command.Token]; ok {
		return decision{final: true, outcome: Outcome{Revision: a.revision, Repeated: true}}
	}
	if last := s.latestRecord(command.Changes); last.Revision > command.Base {
		return decision{final: true, err: &SupersededError{
			Document: last.Key, Revision: last.Revision, Author: last.author, Base: command.Base,
		}}
	}
	return decision{}
}

// validate returns an error that wraps ErrInvalid if the command can never be
// accepted.
func (c Command) validate() error {
	if c.Token == "" {
		return fmt.Errorf("%w: no token", ErrInvalid)
	}
	if c.Author == "" {
		return fmt.Errorf("%w: no author", ErrInvalid)
	}
	if len(c.Changes) == 0 {
		return fmt.Errorf("%w: no changes", ErrInvalid)
	}
	seen := make(map[string]bool, len(c.Changes))
	for _, change := range c.Changes {
		if change.Key == "" || seen[change.Key] {
			return fmt.Errorf("%w: document %q is empty or named twice", ErrInvalid, change.Key)
		}
		seen[change.Key] = true
	}
	if n := entrySize(c.entry(0, time.Time{})); n > maxCommandBytes {
		return fmt.Errorf("%w: %d bytes, at most %d", ErrInvalid, n, maxCommandBytes)
	}
	if _, err := encode(entryToProto(c.entry(0, time.Time{}))); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return nil
}

// entry returns the log entry of the command.
func (c Command) entry(revision uint64, at time.Time) Entry {
	return Entry{Revision: revision, Author: c.Author, Token: c.Token, At: at, Changes: c.Changes}
}

package revision

import (
	"fmt"
	"time"

	"github.com/juju/errors"
)

const (
	// ErrInvalid says that a command cannot be accepted in any state.
	ErrInvalid = errors.ConstError("invalid command")

	// ErrUnknownBase says that a command names a base revision that does not exist.
	ErrUnknownBase = errors.ConstError("base revision does not exist")
)

// Command asks for changes. Base is the revision of the snapshot from which
// the changes were made. Token names the command: all repetitions of a command
// carry the token of the first, and no two commands share one.
type Command struct {
	Author  string
	Token   string
	Base    uint64
	Changes []Change

	// Check may refuse the snapshot that the command would lead to. It may be
	// nil. It is called again when other commands came first, and must neither
	// keep nor change the snapshot.
	Check func(*Snapshot) error
}

// Outcome tells of an accepted command. Repeated says that an earlier copy of
// the command had been accepted; Revision is then that of the earlier one.
type Outcome struct {
	Revision uint64
	Repeated bool
}

// SupersededError refuses a command because a document that it touches was
// written after its base. Author is empty if the document does not exist and
// the base is so old that a removal after it need no longer be known. Revision
// is then the last one up to which removals are not known.
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

// verdict is what the state says about one command.
type verdict struct {
	// done says that outcome and err are final; otherwise the command may be
	// written as the next entry.
	done    bool
	outcome Outcome
	err     error
}

// judge returns the verdict on a command. A final verdict stays true in all
// later states.
func (s *state) judge(command Command) verdict {
	if a, ok := s.tokens[command.Token]; ok {
		return verdict{done: true, outcome: Outcome{Revision: a.revision, Repeated: true}}
	}
	if last := s.newest(command.Changes); last.Revision > command.Base {
		return verdict{done: true, err: &SupersededError{
			Document: last.Key, Revision: last.Revision, Author: last.author, Base: command.Base,
		}}
	}
	return verdict{}
}

// validate refuses commands that can never be accepted.
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
	if n := size(c.entry(0, time.Time{})); n > maxCommandBytes {
		return fmt.Errorf("%w: %d bytes, at most %d", ErrInvalid, n, maxCommandBytes)
	}
	if _, err := encode(entryMessage(c.entry(0, time.Time{}))); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return nil
}

// entry returns the entry that the command becomes.
func (c Command) entry(revision uint64, at time.Time) Entry {
	return Entry{Revision: revision, Author: c.Author, Token: c.Token, At: at, Changes: c.Changes}
}

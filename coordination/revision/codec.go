package revision

import (
	"fmt"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"snipetally.example/coordination/revision/internal/rows"
)

// ErrCorrupt means that the rows of the store are malformed or inconsistent.
const ErrCorrupt = errors.ConstError("revision rows do not fit together")

// head is the decoded head row and its version in the table.
type head struct {
	// revision is the newest revision.
	revision uint64

	// snapshot, generation and parts identify the rows of the stored snapshot:
	// its revision, the unique name of the compaction that wrote it and the
	// number of rows.
	snapshot   uint64
	generation string
	parts      int

	// tombstoneFloor is the revision up to which tombstones may be missing.
	tombstoneFloor uint64

	version uint64
}

// record is the last write of a document: its value, or a tombstone if removed
// is set.
type record struct {
	Document
	author    string
	removed   bool
	writtenAt time.Time
}

// encode marshals a message deterministically. It fails only for strings that
// are not valid UTF-8.
func encode(message proto.Message) ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode row: %w", err)
	}
	return data, nil
}

// encodeHead encodes the value of the head row.
func encodeHead(h head) ([]byte, error) {
	return encode(&rows.Head{
		Revision:   h.revision,
		Snapshot:   h.snapshot,
		Generation: h.generation,
		Parts:      uint32(h.parts),
		Floor:      h.tombstoneFloor,
	})
}

// decodeHead decodes the value of a head row. An empty value, as of a row that
// does not exist, gives a head without revisions. The error wraps ErrCorrupt.
func decodeHead(data []byte, version uint64) (head, error) {
	var message rows.Head
	if err := proto.Unmarshal(data, &message); err != nil {
		return head{}, fmt.Errorf("decode head: %w: %w", ErrCorrupt, err)
	}
	return head{
		revision:       message.GetRevision(),
		snapshot:       message.GetSnapshot(),
		generation:     message.GetGeneration(),
		parts:          int(message.GetParts()),
		tombstoneFloor: message.GetFloor(),
		version:        version,
	}, nil
}

// entryToProto converts an entry to its protobuf message.
func entryToProto(entry Entry) *rows.Entry {
	message := &rows.Entry{
		Revision: entry.Revision,
		Author:   entry.Author,
		Token:    entry.Token,
		At:       entry.At.UnixNano(),
		Changes:  make([]*rows.Change, 0, len(entry.Changes)),
	}
	for _, change := range entry.Changes {
		message.Changes = append(message.Changes, &rows.Change{
			Key: change.Key, Value: change.Value, Remove: change.Remove,
		})
	}
	return message
}

// encodeBatch encodes the value of a log row.
func encodeBatch(entries []Entry) ([]byte, error) {
	message := &rows.Batch{Entries: make([]*rows.Entry, 0, len(entries))}
	for _, entry := range entries {
		message.Entries = append(message.Entries, entryToProto(entry))
	}
	return encode(message)
}

// decodeBatch decodes the value of a log row. The error wraps ErrCorrupt.
func decodeBatch(data []byte) ([]Entry, error) {
	var message rows.Batch
	if err := proto.Unmarshal(data, &message); err != nil {
		return nil, fmt.Errorf("decode log row: %w: %w", ErrCorrupt, err)
	}
	entries := make([]Entry, 0, len(message.GetEntries()))
	for _, m := range message.GetEntries() {
		entry := Entry{
			Revision: m.GetRevision(),
			Author:   m.GetAuthor(),
			Token:    m.GetToken(),
			At:       time.Unix(0, m.GetAt()).UTC(),
			Changes:  make([]Change, 0, len(m.GetChanges())),
		}
		for _, c := range m.GetChanges() {
			entry.Changes = append(entry.Changes, Change{Key: c.GetKey(), Value: c.GetValue(), Remove: c.GetRemove()})
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// encodeParts encodes records as the values of snapshot rows, in order. A row
// exceeds limit bytes only if it holds a single record.
func encodeParts(records []record, limit int) ([][]byte, error) {
	var parts [][]byte
	var part rows.Part
	size := 0
	flush := func() error {
		data, err := encode(&part)
		if err != nil {
			return err
		}
		parts = append(parts, data)
		part.Documents, size = nil, 0
		return nil
	}
	for _, r := range records {
		message := &rows.Document{
			Key: r.Key, Value: r.Value, Revision: r.Revision,
			Author: r.author, Removed: r.removed, At: r.writtenAt.UnixNano(),
		}
		bytes := proto.Size(message) + messageOverhead
		if size > 0 && size+bytes > limit {
			if err := flush(); err != nil {
				return nil, err
			}
		}
		part.Documents = append(part.Documents, message)
		size += bytes
	}
	if err := flush(); err != nil {
		return nil, err
	}
	return parts, nil
}

// decodePart decodes the value of a snapshot row. The error wraps ErrCorrupt.
func decodePart(data []byte) ([]record, error) {
	var message rows.Part
	if err := proto.Unmarshal(data, &message); err != nil {
		return nil, fmt.Errorf("decode snapshot row: %w: %w", ErrCorrupt, err)
	}
	records := make([]record, 0, len(message.GetDocuments()))
	for _, m := range message.GetDocuments() {
		records = append(records, record{
			Document:  Document{Key: m.GetKey(), Value: m.GetValue(), Revision: m.GetRevision()},
			author:    m.GetAuthor(),
			removed:   m.GetRemoved(),
			writtenAt: time.Unix(0, m.GetAt()).UTC(),
		})
	}
	return records, nil
}

// messageOverhead bounds the bytes of the tag and length of an embedded
// message.
const messageOverhead = 8

// entrySize returns an upper bound of the bytes of an entry within a log row.
func entrySize(entry Entry) int {
	return proto.Size(entryToProto(entry)) + messageOverhead
}

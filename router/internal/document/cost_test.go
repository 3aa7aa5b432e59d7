package document_test

import (
	"fmt"
	"maps"
	"testing"

	"snipetally.example/coordination/revision"
	"snipetally.example/router/internal/capacity"
	"snipetally.example/router/internal/document"
	"snipetally.example/router/internal/fleet"
)

// sized returns a plan of so many servers and teams.
func sized(servers, teams int) document.Plan {
	return capacity.Plan(capacity.Size{Servers: servers, Teams: teams})
}

func snapshotOf(tb testing.TB, p document.Plan) *revision.Snapshot {
	tb.Helper()
	changes, err := document.Encode(p)
	if err != nil {
		tb.Fatal(err)
	}
	s := &revision.Snapshot{Revision: 1, Documents: make(map[string]revision.Document, len(changes))}
	for _, change := range changes {
		s.Documents[change.Key] = revision.Document{Key: change.Key, Value: change.Value, Revision: 1}
	}
	return s
}

// changed returns the snapshot with another weight of the first team.
func changed(s *revision.Snapshot, n int) *revision.Snapshot {
	next := &revision.Snapshot{Revision: s.Revision + 1, Documents: maps.Clone(s.Documents)}
	key := document.Key(document.KindTeam, "team-0000")
	value := fmt.Sprintf(`{"name":"team-0000","partner":"one","keys":[],"classes":["class-0"],"weight":%d}`, n+1)
	next.Documents[key] = revision.Document{Key: key, Value: []byte(value), Revision: next.Revision}
	return next
}

// BenchmarkInstall measures what each router does when a revision comes into
// force: decode all documents, read and check them, and build the snapshot of
// the fleet. Changed copies the snapshot, changes a document, and decodes again.
func BenchmarkInstall(b *testing.B) {
	for _, size := range capacity.Sizes() {
		name := fmt.Sprintf("servers=%d", size.Servers)
		s := snapshotOf(b, capacity.Plan(size))
		b.Run("decode/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := document.Decode(s); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run("changed/"+name, func(b *testing.B) {
			b.ReportAllocs()
			var decoder document.Decoder
			for n := 0; b.Loop(); n++ {
				s = changed(s, n)
				if _, err := decoder.Decode(s); err != nil {
					b.Fatal(err)
				}
			}
		})
		form, err := document.Decode(s)
		if err != nil {
			b.Fatal(err)
		}
		b.Run("read/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, problems := document.Convert(form); len(problems) > 0 {
					b.Fatal(problems)
				}
			}
		})
		plan, _ := document.Convert(form)
		b.Run("fleet/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				fleet.New(1, plan)
			}
		})
	}
}

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

// planOfSize returns a plan with the given number of servers and teams.
func planOfSize(servers, teams int) document.Plan {
	return capacity.Plan(capacity.Size{Servers: servers, Teams: teams})
}

// snapshotOf returns a snapshot with the documents of the plan.
func snapshotOf(tb testing.TB, p document.Plan) *revision.Snapshot {
	tb.Helper()
	s, err := capacity.Encode(p)
	if err != nil {
		tb.Fatal(err)
	}
	return s
}

// withTeamWeight returns the next snapshot, in which the first team has weight n+1.
func withTeamWeight(s *revision.Snapshot, n int) *revision.Snapshot {
	next := &revision.Snapshot{Revision: s.Revision + 1, Documents: maps.Clone(s.Documents)}
	key := document.Key(document.KindTeam, "team-0000")
	value := fmt.Sprintf(`{"name":"team-0000","partner":"one","keys":[],"classes":["class-0"],"weight":%d}`, n+1)
	next.Documents[key] = revision.Document{Key: key, Value: []byte(value), Revision: next.Revision}
	return next
}

// BenchmarkInstall measures the steps that each router takes to install a revision:
// decode all documents (decode), convert and check them (read), and build the
// fleet snapshot (fleet). The case changed copies the snapshot, changes one
// document, and decodes with a Decoder that has seen the previous snapshot.
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
				s = withTeamWeight(s, n)
				if _, err := decoder.Decode(s); err != nil {
					b.Fatal(err)
				}
			}
		})
		decoded, err := document.Decode(s)
		if err != nil {
			b.Fatal(err)
		}
		b.Run("read/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, problems := document.Convert(decoded); len(problems) > 0 {
					b.Fatal(problems)
				}
			}
		})
		plan, _ := document.Convert(decoded)
		b.Run("fleet/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				fleet.New(1, plan)
			}
		})
	}
}

package document_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"snipetally.example/coordination/revision"
	"snipetally.example/coordination/seeds"
	"snipetally.example/router/internal/document"
)

func init() {
	seeds.Fix()
}

// TestDecoderMatchesDecode draws sequences of snapshots that differ by writes,
// removals, malformed values and restored values, all under the same revision, and
// compares the incremental decoder with Decode.
func TestDecoderMatchesDecode(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := gomega.NewWithT(rt)
		documents := snapshotOf(t, planOfSize(4, 2)).Documents
		var decoder document.Decoder
		for range rapid.IntRange(1, 12).Draw(rt, "snapshots") {
			documents = maps.Clone(documents)
			for range rapid.IntRange(0, 3).Draw(rt, "changes") {
				mutate(rt, documents)
			}
			s := &revision.Snapshot{Revision: 1, Documents: documents}
			got, gotErr := decoder.Decode(s)
			want, wantErr := document.Decode(s)
			g.Expect(gotErr == nil).To(gomega.Equal(wantErr == nil))
			g.Expect(got).To(gomega.Equal(want))
		}
	})
}

// mutate writes or removes one document.
func mutate(rt *rapid.T, documents map[string]revision.Document) {
	keys := slices.Sorted(maps.Keys(documents))
	key := rapid.SampledFrom(append(keys, "server/new", "class/new", "seed/other", "force")).Draw(rt, "key")
	switch rapid.IntRange(0, 5).Draw(rt, "kind") {
	case 0:
		delete(documents, key)
	case 1:
		documents[key] = revision.Document{Key: key, Value: []byte("{")}
	default:
		value := fmt.Sprintf(`{"name":"n%d","weight":%d}`, rapid.IntRange(0, 3).Draw(rt, "name"), rapid.IntRange(0, 3).Draw(rt, "weight"))
		documents[key] = revision.Document{Key: key, Value: []byte(value)}
	}
}

// TestDecodedPlanUnchangedByNextDecode checks that a plan keeps its content while
// the decoder decodes the next snapshot.
func TestDecodedPlanUnchangedByNextDecode(t *testing.T) {
	g := gomega.NewWithT(t)
	var decoder document.Decoder
	s := snapshotOf(t, planOfSize(3, 2))
	held, err := decoder.Decode(s)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = decoder.Decode(withTeamWeight(s, 6))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	again, err := document.Decode(s)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(held).To(gomega.Equal(again))
}

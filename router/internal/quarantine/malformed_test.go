package quarantine_test

import (
	"net"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"

	"snipetally.example/router/internal/quarantine"
)

// Guards against messages and rows of other writers that end one router after the other.
func TestMalformedMessagesAndRowsAreIgnored(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	withoutParts := []any{"s", "m", []uint64{}, 1, false, false, int64(0), int64(1 << 50), "x", 1, 1, false}
	farFuture := []any{"s", "m", []uint64{7}, 1, false, false, int64(-1 << 62), int64(1 << 62), "x", -1, -1, false}
	lifted := []any{"s", "m", []uint64{}, 2, true, true, int64(0), int64(1 << 50), "x", 1, 1, false}
	emptyRun := []any{"", "", 0, []uint64{}}
	messages := []any{
		"text", 7, nil, []any{}, []any{nil, nil, nil, nil, nil},
		[]any{[]any{}, []any{}, []any{withoutParts, lifted, farFuture}, false, false},
		[]any{[]any{[]any{1, []any{emptyRun, emptyRun}}}, []any{[]any{"", "", 0, -1 << 40}}, []any{}, true, true},
	}
	f := newExchangeFleet(t, 2)
	e, _ := f.start(0)
	g.Eventually(e.Synced, shareTime).Should(gomega.BeTrue())
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "udp4", f.addresses[0].String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = conn.Close() }()
	for _, m := range messages {
		data, err := cbor.Marshal(m)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = conn.Write(data)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	_, err = conn.Write([]byte{0xff, 0x00, 0x9f})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	crashAt(e)
	g.Expect(refuses(e)()).To(gomega.BeTrue(), "the router goes on")
	for _, row := range [][]byte{nil, {0xff}, []byte("text")} {
		_, err := quarantine.DecodeRow(row)
		g.Expect(err).To(gomega.HaveOccurred())
	}
}

package peer_test

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"snipetally.example/coordination/membership"
	"snipetally.example/coordination/revision"
	"snipetally.example/coordination/spread"
	"snipetally.example/wire/peer"
)

func TestHintCodecRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := gomega.NewWithT(rt)
		hint := spread.Hint{
			Revision:   rapid.Uint64().Draw(rt, "revision"),
			Fresh:      rapid.Bool().Draw(rt, "fresh"),
			Age:        time.Duration(rapid.IntRange(0, 1e6).Draw(rt, "age")) * time.Millisecond,
			RosterHash: rapid.Uint64().Draw(rt, "roster"),
			Base:       rapid.Uint64().Draw(rt, "base"),
			Lags:       rapid.SliceOfN(rapid.SampledFrom([]byte{0, 0, 0, 1, 2, 255}), 1, 500).Draw(rt, "lags"),
		}
		raw := peer.HintCodec{}.Encode(hint)
		g.Expect(len(raw)).To(gomega.BeNumerically("<=", membership.ExtraBytes))
		g.Expect(peer.HintCodec{}.Decode(raw)).To(gomega.Equal(hint))
	})
}

func TestEncodedUpdatesStayWithinSizeLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		node := membership.New(membership.Config{Self: membership.Member{Name: "self", Address: "10.0.0.1:1"}})
		exchange := func(m membership.Message) int {
			reply, err := node.HandleExchange(context.Background(), m)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			size := 0
			for _, u := range reply.Updates {
				size += proto.Size(&peer.MessageWire{Updates: []*peer.MemberWire{{
					Name: u.Name, Address: u.Address, Zone: u.Zone, Region: u.Region, Incarnation: u.Incarnation,
					Round: u.Round, State: uint32(u.State), Note: u.Note, Version: u.Version,
				}}})
			}
			return size
		}
		for i := range 300 {
			exchange(membership.Message{From: membership.Member{
				Name: fmt.Sprintf("router-%03d", i), Address: "10.255.255.255:65535", Zone: "zone-11", Region: "region-3",
				Incarnation: math.MaxUint64, Round: math.MaxUint32, State: membership.State(i%3 + 1),
				Note: make([]byte, membership.NoteBytes), Version: math.MaxUint64,
			}})
		}
		for range 50 {
			size := exchange(membership.Message{})
			g.Expect(size).To(gomega.BeNumerically(">", 0))
			g.Expect(size).To(gomega.BeNumerically("<=", membership.UpdateBytes))
		}
		full := exchange(membership.Message{Full: true})
		g.Expect(full).To(gomega.BeNumerically("<=", membership.FullSyncBytes))
		synced := exchange(membership.Message{Buckets: make([]uint64, 32)})
		g.Expect(synced).To(gomega.BeNumerically("<=", membership.SyncBytes))
	})
}

func TestDecodeBoundsLagsOfMalformedHint(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		raw := rapid.SliceOf(rapid.Byte()).Draw(rt, "raw")
		if h, err := (peer.HintCodec{}).Decode(raw); err == nil && len(h.Lags) > 1<<16 {
			rt.Fatalf("%d lags", len(h.Lags))
		}
	})
}

// fakeHandler answers probes and pulls with fixed values and records what it
// receives. Relays fail.
type fakeHandler struct {
	reply    membership.Message
	received membership.Message
	delta    spread.Delta
	pushed   spread.Announcement
}

func (h *fakeHandler) HandleExchange(_ context.Context, m membership.Message) (membership.Message, error) {
	h.received = m
	return h.reply, nil
}

func (*fakeHandler) HandleRelay(context.Context, membership.Target) error { return errUnreachable }

func (h *fakeHandler) HandlePush(_ context.Context, a spread.Announcement) error {
	h.pushed = a
	return nil
}

func (h *fakeHandler) HandlePull(context.Context, uint64) (spread.Delta, error) { return h.delta, nil }

// authTransport sets the Authorization header of each request.
type authTransport string

func (t authTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Set("Authorization", string(t))
	return http.DefaultTransport.RoundTrip(r)
}

func TestCallsTransmitAllFieldsOverHTTP(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	message := membership.Message{
		From: membership.Member{
			Name: "a", Address: "10.0.0.1:1", Zone: "z", Region: "r", Incarnation: 7, Round: 8,
			State: membership.Leaving, Note: []byte("n"), Version: 9,
		},
		Target: "b", Updates: []membership.Member{{Name: "c", State: membership.Left}},
		Summary: 1, Buckets: []uint64{1, 2}, Full: true, Extra: []byte("x"),
	}
	at := time.Unix(1, 2)
	delta := spread.Delta{
		Snapshot: &revision.Snapshot{Revision: 4, Documents: map[string]revision.Document{
			"k": {Key: "k", Value: []byte("v"), Revision: 3},
		}},
		Entries: []revision.Entry{{
			Revision: 5, Author: "a", Token: "t", At: at,
			Changes: []revision.Change{{Key: "k", Remove: true}},
		}},
	}
	service := &fakeHandler{reply: message, delta: delta}
	authenticate := func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Authorization") != "key" {
				http.Error(w, "no", http.StatusUnauthorized)
				return
			}
			next.ServeHTTP(w, r)
		})
	}
	server := httptest.NewServer(peer.NewHandler(service, service, authenticate))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	client := peer.NewClient(authTransport("key"), "http")
	g.Expect(client.Exchange(ctx, address, message)).To(gomega.Equal(message))
	g.Expect(service.received).To(gomega.Equal(message))
	g.Expect(client.Pull(ctx, address, 1)).To(gomega.Equal(delta))
	announcement := spread.Announcement{Name: "a", Address: "b", Incarnation: 1, Revision: 2}
	g.Expect(client.Push(ctx, address, announcement)).To(gomega.Succeed())
	g.Expect(service.pushed).To(gomega.Equal(announcement))
	g.Expect(client.Relay(ctx, address, membership.Target{Name: "b"})).NotTo(gomega.Succeed())
	_, err := peer.NewClient(authTransport("other"), "http").Exchange(ctx, address, message)
	g.Expect(err).To(gomega.HaveOccurred())
}

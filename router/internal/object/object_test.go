package object_test

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/object"
	"snipetally.example/standin/platform"
)

func TestGetReturnsTheObjectThatWasPut(t *testing.T) {
	g := gomega.NewWithT(t)
	objects := platform.NewObjectStore()
	server := httptest.NewServer(objects)
	defer server.Close()
	store := object.NewStore(strings.TrimPrefix(server.URL, "http://"), time.Minute)

	_, err := store.Get(t.Context(), "once/o/a b")
	g.Expect(err).To(gomega.MatchError(object.ErrNotFound))
	data := bytes.Repeat([]byte{0, 1, 255}, 100_000)
	for range 2 {
		g.Expect(store.Put(t.Context(), "once/o/a b", data)).To(gomega.Succeed())
	}
	got, err := store.Get(t.Context(), "once/o/a b")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got).To(gomega.Equal(data))
	g.Expect(objects.Count()).To(gomega.Equal(1))

	objects.SetUnavailable(true)
	g.Expect(store.Put(t.Context(), "b", data)).To(gomega.MatchError(object.ErrInvalidResponse))
	_, err = store.Get(t.Context(), "once/o/a b")
	g.Expect(err).To(gomega.MatchError(object.ErrInvalidResponse))
}

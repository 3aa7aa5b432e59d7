package link_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"snipetally.example/router/internal/link"
)

// BenchmarkExchange compares an exchange on a pooled connection with one on a new
// connection, over loopback.
func BenchmarkExchange(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("granted"))
	}))
	defer server.Close()
	for name, newConnection := range map[string]bool{"pooled": false, "fresh": true} {
		b.Run(name, func(b *testing.B) {
			l := link.New(link.Config{Address: strings.TrimPrefix(server.URL, "http://")})
			defer l.Close()
			b.ReportAllocs()
			for b.Loop() {
				exchange, err := l.Send(context.Background(), link.Request{
					Method: http.MethodPost, Path: "/grants", Body: []byte("room 7"), NewConnection: newConnection,
				})
				if err != nil {
					b.Fatal(err)
				}
				if _, err := exchange.ReadAll(1 << 10); err != nil {
					b.Fatal(err)
				}
				exchange.Close()
			}
		})
	}
}

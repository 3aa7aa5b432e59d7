package credential

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"snipetally.example/router/internal/contract"
	"snipetally.example/router/internal/settings"
)

const scheme = "Bearer "

// Accounts finds the operator of a key.
type Accounts []settings.Account

// Find returns the account whose key the request carries. Every key is
// compared, in constant time.
func (a Accounts) Find(r *http.Request) (*settings.Account, bool) {
	hash, ok := bearer(r)
	if !ok {
		return nil, false
	}
	var found *settings.Account
	for i := range a {
		for _, known := range a[i].Keys {
			if subtle.ConstantTimeCompare(known[:], hash[:]) == 1 {
				found = &a[i]
			}
		}
	}
	return found, found != nil
}

// bearer returns the hash of the request's bearer key.
func bearer(r *http.Request) (contract.KeyHash, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), scheme)
	return sha256.Sum256([]byte(key)), ok
}

// PeerKeys authenticates routers to each other. The first key is sent, all are
// taken.
type PeerKeys struct {
	keys   []string
	hashes []contract.KeyHash
}

// NewPeerKeys returns the peers' keys.
func NewPeerKeys(keys []string) *PeerKeys {
	p := &PeerKeys{keys: keys}
	for _, key := range keys {
		p.hashes = append(p.hashes, sha256.Sum256([]byte(key)))
	}
	return p
}

// RequireKey lets only requests with one of the keys through to next.
func (p *PeerKeys) RequireKey(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hash, ok := bearer(r)
		known := 0
		for i := range p.hashes {
			known |= subtle.ConstantTimeCompare(p.hashes[i][:], hash[:])
		}
		if !ok || known == 0 {
			http.Error(w, "unknown key", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// AddKey returns a round tripper that adds the first key to each request.
func (p *PeerKeys) AddKey(next http.RoundTripper) http.RoundTripper {
	return &signer{authorization: scheme + p.keys[0], next: next}
}

type signer struct {
	authorization string
	next          http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (s *signer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", s.authorization)
	return s.next.RoundTrip(r)
}

package credential

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"snipetally.example/router/internal/contract"
	"snipetally.example/router/internal/settings"
)

// bearerPrefix precedes the key in the Authorization header.
const bearerPrefix = "Bearer "

// Accounts holds the accounts of the operators.
type Accounts []settings.Account

// Find returns the account that the bearer key of r belongs to, and whether there
// is one. It compares all keys, each in constant time.
func (a Accounts) Find(r *http.Request) (*settings.Account, bool) {
	hash, ok := bearerHash(r)
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

// bearerHash returns the hash of the bearer key of the request, and whether the
// request has one.
func bearerHash(r *http.Request) (contract.KeyHash, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	return sha256.Sum256([]byte(key)), ok
}

// PeerKeys are the keys that routers authenticate to each other with. The first
// key is sent and all keys are accepted.
type PeerKeys struct {
	keys   []string
	hashes []contract.KeyHash
}

// NewPeerKeys returns the peer keys. AddKey needs at least one key.
func NewPeerKeys(keys []string) *PeerKeys {
	p := &PeerKeys{keys: keys}
	for _, key := range keys {
		p.hashes = append(p.hashes, sha256.Sum256([]byte(key)))
	}
	return p
}

// RequireKey returns a handler that passes requests with one of the keys on to
// next and answers all others with status 401.
func (p *PeerKeys) RequireKey(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hash, ok := bearerHash(r)
		matched := 0
		for i := range p.hashes {
			matched |= subtle.ConstantTimeCompare(p.hashes[i][:], hash[:])
		}
		if !ok || matched == 0 {
			http.Error(w, "unknown key", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// AddKey returns a round tripper that adds the first key to each request and
// passes it on to next.
func (p *PeerKeys) AddKey(next http.RoundTripper) http.RoundTripper {
	return &authorizingTransport{authorization: bearerPrefix + p.keys[0], next: next}
}

// authorizingTransport sets the Authorization header of each request.
type authorizingTransport struct {
	authorization string
	next          http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *authorizingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", t.authorization)
	return t.next.RoundTrip(r)
}

package platform

import (
	"io"
	"net/http"
	"strings"
	"sync"
)

const (
	objectsPath    = "/objects/"
	maxObjectBytes = 64 << 20
)

// ObjectStore is a fake of the platform's object store, which keeps objects in
// memory. It implements http.Handler for PUT and GET of /objects/NAME.
type ObjectStore struct {
	// mu guards the fields below.
	mu          sync.Mutex
	unavailable bool
	objects     map[string][]byte
}

// NewObjectStore returns an empty object store.
func NewObjectStore() *ObjectStore {
	return &ObjectStore{objects: make(map[string][]byte)}
}

// SetUnavailable makes requests fail with status 503 until it is called with
// false.
func (o *ObjectStore) SetUnavailable(unavailable bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unavailable = unavailable
}

// Count returns the number of stored objects.
func (o *ObjectStore) Count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.objects)
}

// ServeHTTP implements http.Handler.
func (o *ObjectStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, ok := strings.CutPrefix(r.URL.Path, objectsPath)
	if !ok || name == "" {
		http.NotFound(w, r)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		http.Error(w, "can't read the body", http.StatusBadRequest)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case o.unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Method == http.MethodPut:
		o.objects[name] = data
	case r.Method != http.MethodGet:
		w.WriteHeader(http.StatusMethodNotAllowed)
	case o.objects[name] == nil:
		http.NotFound(w, r)
	default:
		_, _ = w.Write(o.objects[name])
	}
}

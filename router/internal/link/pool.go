package link

import "sync"

// Pool holds one Link for each address. Its methods are safe for concurrent use.
type Pool struct {
	// mu guards links.
	mu    sync.Mutex
	links map[string]*Link
}

// NewPool returns an empty Pool.
func NewPool() *Pool {
	return &Pool{links: make(map[string]*Link)}
}

// Get returns the link to the address. It creates one if there is none.
func (p *Pool) Get(address string) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.links[address]
	if !ok {
		l = New(Config{Address: address})
		p.links[address] = l
	}
	return l
}

// Retain closes and removes the links to all addresses for which keep reports
// false. Exchanges in progress on them are not affected.
func (p *Pool) Retain(keep func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, l := range p.links {
		if !keep(address) {
			l.Close()
			delete(p.links, address)
		}
	}
}

// States returns the state of each link, by address.
func (p *Pool) States() map[string]State {
	p.mu.Lock()
	defer p.mu.Unlock()
	states := make(map[string]State, len(p.links))
	for address, l := range p.links {
		states[address] = l.State()
	}
	return states
}

// Close closes and removes every link.
func (p *Pool) Close() {
	p.Retain(func(string) bool { return false })
}

package membership

import "time"

// Reachability says how many of the members that should run this process believes to
// reach. Expected members are those that the VM list named last and those that
// joined since, less those that left. Members that died stay expected until
// the VM list drops them, so that losing contact does not lower the number.
type Reachability struct {
	// Reachable and Expected include this process. Suspect members are not
	// reachable.
	Reachable int
	Expected  int

	// ExpectedKnown says that the VM list was read once, or that other members are
	// known. Before that, Expected says nothing.
	ExpectedKnown bool

	// FirstReachable says that the first expected member by name is reachable, and
	// Foremost that it is this process.
	FirstReachable bool
	IsFirst        bool

	// LastContact is when the last answered probe to another member was sent. It
	// is zero if there was none.
	LastContact time.Time
}

// Reach returns the current reach.
func (p *Node) Reach() Reachability {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reach == nil {
		p.reach = p.countLocked()
	}
	reach := *p.reach
	reach.LastContact = p.reached
	return reach
}

// countLocked counts the expected members.
func (p *Node) countLocked() *Reachability {
	reach := &Reachability{Reachable: 1, Expected: 1, ExpectedKnown: p.counted || len(p.expected) > 0}
	first, firstReachable := p.self.Name, true
	for name := range p.expected {
		if name == p.self.Name {
			continue
		}
		reach.Expected++
		rec, ok := p.registry.records[name]
		reachable := ok && (rec.member.State == Alive || rec.member.State == Leaving)
		if reachable {
			reach.Reachable++
		}
		if name < first {
			first, firstReachable = name, reachable
		}
	}
	reach.FirstReachable = firstReachable
	reach.IsFirst = first == p.self.Name
	return reach
}

// expectLocked takes the members of the VM list as expected, and those live
// here that it does not name yet.
func (p *Node) expectLocked() {
	p.counted = true
	clear(p.expected)
	for name, vm := range p.listed {
		rec, ok := p.registry.records[name]
		if vm.Leaving || ok && rec.member.State == Left {
			continue
		}
		p.expected[name] = struct{}{}
	}
	for name, rec := range p.registry.records {
		if rec.member.State.Live() {
			p.expected[name] = struct{}{}
		}
	}
	p.reach = nil
}

package membership

import "time"

// Reachability says how many of the members that should be running this process
// records as reachable. Expected members are those on the VM list that was read
// last and those that joined since, less those that left. Dead members stay
// expected until the VM list drops them, so that losing contact does not lower
// the number.
type Reachability struct {
	// Reachable and Expected include this process. Suspect members do not count
	// as reachable.
	Reachable int
	Expected  int

	// ExpectedKnown says that the VM list was read at least once, or that other
	// members are known. Until then, Expected is meaningless.
	ExpectedKnown bool

	// FirstReachable says that the first of the expected members by name is
	// reachable, and IsFirst that it is this process.
	FirstReachable bool
	IsFirst        bool

	// LastContact is when the last probe that another member replied to was
	// sent. It is zero if there was none.
	LastContact time.Time
}

// Reachability returns the current reachability.
func (n *Node) Reachability() Reachability {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.reachability == nil {
		n.reachability = n.countReachableLocked()
	}
	reachability := *n.reachability
	reachability.LastContact = n.lastContact
	return reachability
}

// countReachableLocked computes the reachability of the expected members.
func (n *Node) countReachableLocked() *Reachability {
	reachability := &Reachability{Reachable: 1, Expected: 1, ExpectedKnown: n.vmListRead || len(n.expected) > 0}
	first, firstReachable := n.self.Name, true
	for name := range n.expected {
		if name == n.self.Name {
			continue
		}
		reachability.Expected++
		rec, ok := n.registry.records[name]
		reachable := ok && (rec.member.State == Alive || rec.member.State == Leaving)
		if reachable {
			reachability.Reachable++
		}
		if name < first {
			first, firstReachable = name, reachable
		}
	}
	reachability.FirstReachable = firstReachable
	reachability.IsFirst = first == n.self.Name
	return reachability
}

// resetExpectedLocked replaces the expected members by those on the VM list and
// the live members that the list does not name yet.
func (n *Node) resetExpectedLocked() {
	n.vmListRead = true
	clear(n.expected)
	for name, vm := range n.listedVMs {
		rec, ok := n.registry.records[name]
		if vm.Leaving || ok && rec.member.State == Left {
			continue
		}
		n.expected[name] = struct{}{}
	}
	for name, rec := range n.registry.records {
		if rec.member.State.Live() {
			n.expected[name] = struct{}{}
		}
	}
	n.reachability = nil
}

package retrybudget_test

import (
	"slices"
	"time"
)

// moveCallers makes callers send their requests to some of the routers only.
func (f *fleet) moveCallers(to []int) { f.entries = to }

// firstRouters returns the indexes of the first n routers.
func firstRouters(n int) []int {
	routers := make([]int, n)
	for i := range routers {
		routers[i] = i
	}
	return routers
}

// allRouters returns the indexes of all routers.
func (f *fleet) allRouters() []int { return firstRouters(f.size.routers) }

// leaveAndReturn makes callers leave the first n routers, and after a time go to these
// alone, and so on.
func (f *fleet) leaveAndReturn(n int, after time.Duration, times int) {
	first := firstRouters(n)
	others := slices.DeleteFunc(f.allRouters(), func(i int) bool { return slices.Contains(first, i) })
	for range times {
		f.moveCallers(others)
		f.run(after)
		f.moveCallers(first)
		f.run(after)
	}
}

// pulse makes the load rise and fall, a number of times.
func (f *fleet) pulse(times int) {
	for range times {
		f.load = 4
		f.run(3 * time.Second)
		f.load = 0.1
		f.run(5 * time.Second)
	}
	f.load = 1
}

// suspend lets the VM of a router stand still for a time.
func (f *fleet) suspend(router int, d time.Duration) {
	f.routers[router].suspendedUntil = f.now.Add(d)
}

// heal ends all partitions.
func (f *fleet) heal() {
	for _, r := range f.routers {
		r.side = 0
	}
}

// join adds a router that gets requests like the others.
func (f *fleet) join() {
	r := &simRouter{}
	f.restart(r)
	f.entries = append(f.entries, len(f.routers))
	f.routers = append(f.routers, r)
}

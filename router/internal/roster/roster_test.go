package roster_test

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// Guards against routers that start with seeds which are out of date and never learn of any
// other one: three that are alone and two that are left of five, where the list names the
// three that ended.
func TestRoutersThatNeverMetFindEachOther(t *testing.T) {
	for _, listed := range []string{"those that ended", "nobody", "eight that ended"} {
		t.Run(listed, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				f := newFleet(t)
				defer synctest.Wait()
				defer f.stop()
				switch listed {
				case "those that ended":
					f.store.set(map[string]string{"1": "1 " + address(91).String(), "4": "4 " + address(92).String(), "6": "6 " + address(93).String()})
				case "eight that ended":
					for i := range 8 {
						f.store.set(map[string]string{fmt.Sprint(i): fmt.Sprint(i, " ", address(90+i))})
					}
				}
				f.start(4, 0)
				f.start(5, 0)
				for i := range 3 {
					f.start(6+i, 1+i)
				}
				time.Sleep(25 * time.Second)
				g.Expect(f.groups()).To(gomega.Equal(1))
			})
		})
	}
}

// Guards against a list of the first day: VMs are replaced one by one until none of the first
// ones lives, and no new one has a seed.
func TestRoutersThatReplaceOthersFindThoseThatAreLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		const routers = 9
		f := newFleet(t)
		defer synctest.Wait()
		defer f.stop()
		for i := range routers {
			f.start(i, 0)
		}
		time.Sleep(10 * time.Second)
		for i := range 5 * routers {
			f.end(i)
			f.start(routers+i, 1+i)
			time.Sleep(5 * time.Second)
			g.Expect(f.groups()).To(gomega.BeNumerically("<=", 3), "after %d replacements", i+1)
		}
		time.Sleep(20 * time.Second)
		g.Expect(f.groups()).To(gomega.Equal(1))
	})
}

// Guards against routers that stay apart when all are lost at once and others start at new
// addresses.
func TestRoutersThatReplaceAllAtOnceFindEachOther(t *testing.T) {
	for _, routers := range sizes(2) {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				f := newFleet(t)
				defer synctest.Wait()
				defer f.stop()
				for i := range routers {
					f.start(i, 0)
				}
				time.Sleep(time.Minute)
				for i := range routers {
					f.end(i)
					f.start(1000+i, 1+i)
				}
				f.store.calls()
				from := time.Now()
				for f.groups() > 1 && time.Since(from) < time.Minute {
					time.Sleep(100 * time.Millisecond)
				}
				reads, writes := f.store.calls()
				t.Logf("one group after %v, %d reads, %d writes", time.Since(from), reads, writes)
				g.Expect(time.Since(from)).To(gomega.BeNumerically("<", 25*time.Second))
			})
		})
	}
}

// sizes returns the numbers of routers that are played: those of the largest installation only
// with SNIPETALLY_MEASURE set, as that takes long.
func sizes(smallest int) []int {
	if os.Getenv("SNIPETALLY_MEASURE") == "" {
		return []int{smallest, 8, 80}
	}
	return []int{smallest, 8, 80, 400}
}

// Guards against calls to the store that grow with the number of routers: all are priced,
// and the store refuses those beyond its rates.
func TestCallsToTheStoreAreRare(t *testing.T) {
	for _, routers := range sizes(1) {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				f := newFleet(t)
				defer synctest.Wait()
				defer f.stop()
				for i := range routers {
					f.start(i, 0)
				}
				time.Sleep(time.Minute)
				reads, writes := f.store.calls()
				t.Logf("first minute: %d reads, %d writes", reads, writes)
				time.Sleep(10 * time.Minute)
				reads, writes = f.store.calls()
				t.Logf("ten calm minutes: %d reads, %d writes", reads, writes)
				g.Expect(reads).To(gomega.BeNumerically(">=", 5), "or groups would never meet")
				g.Expect(reads).To(gomega.BeNumerically("<=", 200))
				g.Expect(writes).To(gomega.BeZero())
			})
		})
	}
}

// Guards against more calls than the store bears when no datagram passes between any two
// routers, of which each is alone then.
func TestRoutersThatCanNotMeetStayWithinTheRatesOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		const routers = 400
		f := newFleet(t)
		defer synctest.Wait()
		defer f.stop()
		f.setDeaf(true)
		for i := range routers {
			f.start(i, i)
		}
		mostReads, mostWrites := 0, 0
		for range 30 {
			time.Sleep(time.Second)
			reads, writes := f.store.calls()
			mostReads, mostWrites = max(mostReads, reads), max(mostWrites, writes)
			g.Expect(reads).To(gomega.BeNumerically("<=", 500))
			g.Expect(writes).To(gomega.BeNumerically("<=", 200))
		}
		t.Logf("at most %d reads and %d writes in a second", mostReads, mostWrites)
		f.setDeaf(false)
		time.Sleep(25 * time.Second)
		g.Expect(f.groups()).To(gomega.Equal(1))
	})
}

// Guards against a store that is away for long and takes the routers' view of each other
// with it, or is called more often for it, and against groups that stay apart afterwards.
func TestRoutersMeetWhenTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFleet(t)
		defer synctest.Wait()
		defer f.stop()
		f.store.setUnavailable(true)
		for i := range 8 {
			f.start(i, i/4)
		}
		time.Sleep(time.Hour)
		reads, writes := f.store.calls()
		g.Expect(reads).To(gomega.BeNumerically("<=", 3*time.Hour/(4*time.Second)))
		g.Expect(writes).To(gomega.BeZero())
		g.Expect(f.groups()).To(gomega.Equal(2))
		f.store.setUnavailable(false)
		time.Sleep(30 * time.Second)
		g.Expect(f.groups()).To(gomega.Equal(1))
	})
}

// Guards against two sides of a partition that take each other off the list again and again.
func TestTheSidesOfAPartitionLeaveEachOtherListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFleet(t)
		defer synctest.Wait()
		defer f.stop()
		f.setDeaf(true)
		for i := range 16 {
			f.start(i, i%2)
		}
		time.Sleep(5 * time.Minute)
		f.store.calls()
		time.Sleep(time.Hour)
		_, writes := f.store.calls()
		g.Expect(writes).To(gomega.BeZero())
		f.setDeaf(false)
		time.Sleep(5 * time.Minute) // Each side reads twice a minute on average.
		g.Expect(f.groups()).To(gomega.Equal(1))
	})
}

// Guards against rows of another writer that keep routers off the list.
func TestMalformedRowsAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFleet(t)
		defer synctest.Wait()
		defer f.stop()
		f.store.set(map[string]string{"0": "", "1": "\xff\x00", "2": "2", "3": "3 nowhere", "4": "-4 10.0.0.1:1", "5": "99 10.0.0.1:1", "6": "6 10.0.0.1", "7": "x 10.0.0.1:1"})
		f.start(0, 0)
		f.start(1, 1)
		time.Sleep(15 * time.Second)
		g.Expect(f.groups()).To(gomega.Equal(1))
		g.Expect(f.isListed()).To(gomega.BeTrue())
	})
}

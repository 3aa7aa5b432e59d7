package feed_test

import (
	"fmt"
	"testing"
	"time"

	"snipetally.example/coordination/feed"
)

// TestProvedCopiesHoldEveryEarlierChange runs random sequences of writes, outages,
// silences, late responses and compactions against followers that exchange proofs.
// Each copy must hold all that was written before the time as of which it counts as
// proved.
func TestProvedCopiesHoldEveryEarlierChange(t *testing.T) {
	checkSteps(t, 10, 2000, runFaults)
}

// TestProvedCopiesHoldEveryEarlierChangeWhileCutOff is the same with followers that
// are cut off from the table now and then, reach it through another one then, and
// read what they missed.
func TestProvedCopiesHoldEveryEarlierChangeWhileCutOff(t *testing.T) {
	checkSteps(t, 14, 2000, runCuts)
}

// runCuts is runFaults with followers whose source can be cut.
func runCuts(t *testing.T, steps, pauses []int) string {
	source := &cutSource{fakeTable: newFakeTable()}
	source.put("n", "0")
	g := startGroupWith(t, source.fakeTable, 3, 100*time.Millisecond, func(c *feed.Config[string]) {
		c.Source = source
		c.ReadMissed = true
		c.Indirect = func() (feed.Source[string], bool) { return source.fakeTable, true }
	})
	return runFaultsOf(g, source, steps, pauses)
}

// runFaults writes increasing numbers to a row and returns a description of the
// first violation, or an empty string.
func runFaults(t *testing.T, steps, pauses []int) string {
	source := &cutSource{fakeTable: newFakeTable()}
	source.put("n", "0")
	return runFaultsOf(startGroup(t, source.fakeTable, 3, 100*time.Millisecond), source, steps, pauses)
}

// runFaultsOf runs the steps against a group.
func runFaultsOf(g *group, source *cutSource, steps, pauses []int) string {
	table := source.fakeTable
	end := func() {}
	written := map[int]time.Duration{}
	number := 0
	for i, step := range steps {
		switch step {
		case 0, 1, 2:
			disturb(table, step)
		case 3:
			end()
			end = table.silence()
		case 4:
			end()
			end = func() {}
		case 5:
			table.put("other", fmt.Sprint(i))
		case 6:
			table.setLag(500 * time.Millisecond)
		case 7:
			table.setLag(0)
		case 11:
			source.cut.Store(true)
		case 12:
			source.cut.Store(false)
		case 13:
			// Calls in progress are overtaken by later ones.
			table.setLag(1500 * time.Millisecond)
			time.Sleep(300 * time.Millisecond)
			table.setLag(0)
		default:
			number++
			written[number] = table.clock()
			table.put("n", fmt.Sprint(number))
		}
		time.Sleep(time.Duration(pauses[i]) * time.Millisecond)
		for i, f := range g.followers {
			if failure := compareWithWritten(f, g.copyOf(i), written); failure != "" {
				return failure
			}
		}
	}
	return ""
}

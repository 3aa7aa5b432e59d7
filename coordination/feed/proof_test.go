package feed_test

import (
	"fmt"
	"testing"
	"time"
)

// TestProvedCopiesHoldEveryEarlierChange runs random sequences of writes, outages,
// silences, late responses and compactions against followers that exchange proofs. Each copy must hold all that was written before the time as of which it
// counts as proved.
func TestProvedCopiesHoldEveryEarlierChange(t *testing.T) {
	checkSteps(t, 10, 2000, runFaults)
}

// runFaults writes increasing numbers to a row and returns a description of the
// first violation, or an empty string.
func runFaults(t *testing.T, steps, pauses []int) string {
	table := newFakeTable()
	table.put("n", "0")
	g := startGroup(t, table, 3, 100*time.Millisecond)
	end := func() {}
	written := map[int]time.Duration{}
	number := 0
	for i, step := range steps {
		switch step {
		case 0:
			table.setDown(true)
		case 1:
			table.setDown(false)
		case 2:
			table.compact()
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

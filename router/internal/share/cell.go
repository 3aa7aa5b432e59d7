package share

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

const (
	// cellRouters and cellServers are the numbers of routers and of servers of
	// a pool that a cell has at least, on average.
	cellRouters = 8
	cellServers = 8
)

// Cells returns the number of cells that a pool is cut into, a power of two.
// The routers of a cell share the servers of the cell among themselves, so that
// each hears only from its cell and uses few servers.
func Cells(routers, servers int) int {
	n := min(routers/cellRouters, servers/cellServers)
	if n < 2 {
		return 1
	}
	return 1 << (bits.Len(uint(n)) - 1)
}

// CellOf returns the cell of a router. With half as many cells, two neighbors
// become one; no router moves otherwise when others come and go.
func CellOf(router string, cells int) int {
	if cells <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(router) >> (64 - (bits.Len(uint(cells)) - 1)))
}

// CellBounds returns, for each cell, the fraction of a pool's servers that comes
// before it: cells get servers by the number of their routers. The last element
// is one.
func CellBounds(routers []string, cells int) []float64 {
	bounds := make([]float64, cells+1)
	for _, router := range routers {
		bounds[CellOf(router, cells)+1]++
	}
	for i := range cells {
		bounds[i+1] = bounds[i] + bounds[i+1]/float64(max(len(routers), 1))
	}
	return bounds
}

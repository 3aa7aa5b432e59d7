package share

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

const (
	// cellRouters and cellServers are the minimum average numbers of routers
	// and of servers of a pool per cell.
	cellRouters = 8
	cellServers = 8
)

// Cells returns the number of cells into which a pool is split, a power of two.
// The routers of a cell share the servers of that cell only, so that each
// router receives reports from its cell alone and uses few servers.
func Cells(routers, servers int) int {
	n := min(routers/cellRouters, servers/cellServers)
	if n < 2 {
		return 1
	}
	return 1 << (bits.Len(uint(n)) - 1)
}

// CellOf returns the cell of a router. The cell depends only on the router's
// name and the number of cells: halving that number merges neighboring cells,
// and no router changes its cell because others join or leave.
func CellOf(router string, cells int) int {
	if cells <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(router) >> (64 - (bits.Len(uint(cells)) - 1)))
}

// CellBounds returns, for each cell, the fraction of a pool's servers that
// comes before it, followed by 1. Cells get servers in proportion to their
// routers.
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

package roster

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// encodeRow returns the value of a row: its number and the address of the router, as text.
func encodeRow(row int, router netip.AddrPort) []byte {
	return fmt.Appendf(nil, "%d %s", row, router)
}

// decodeRow returns the number of a row and the address of its router.
func decodeRow(value []byte) (row int, router netip.AddrPort, err error) {
	number, address, _ := strings.Cut(string(value), " ")
	row, err = strconv.Atoi(number)
	if err != nil {
		return 0, netip.AddrPort{}, fmt.Errorf("parse number of row: %w", err)
	}
	if row < 0 || row >= rowCount {
		return 0, netip.AddrPort{}, errors.NotValidf("row %d", row)
	}
	router, err = netip.ParseAddrPort(address)
	if err != nil {
		return 0, netip.AddrPort{}, fmt.Errorf("parse address of row %d: %w", row, err)
	}
	return row, router, nil
}

// decode returns the list that rows hold. Rows that can't be decoded count as free.
func (r *Roster) decode(rows [][]byte) map[int]netip.AddrPort {
	listed := make(map[int]netip.AddrPort, rowCount)
	for _, value := range rows {
		row, router, err := decodeRow(value)
		if err != nil {
			r.config.ReportError(fmt.Errorf("list of routers: %w", err))
			continue
		}
		listed[row] = router
	}
	return listed
}

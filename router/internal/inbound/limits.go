package inbound

import (
	"golang.org/x/sys/unix"
)

// Limits are the largest amounts of each resource that connections hold together. Zero means no
// limit.
type Limits [resourceCount]int64

const (
	// receiveBufferBytes and sendBufferBytes are the sizes set for the buffers of a socket. Peers can
	// fill them without the process's doing. A send buffer of one segment of the loopback interface,
	// or less, makes long responses wait for delayed acknowledgments there.
	receiveBufferBytes = 32 << 10
	sendBufferBytes    = 64 << 10

	// connectionBytes is what a connection takes that does nothing: its buffers and goroutine in the
	// process, and full buffers of its socket.
	connectionBytes = 24<<10 + receiveBufferBytes + sendBufferBytes

	// The fractions of the VM's memory that each resource may take. What remains is for the
	// process itself and for garbage.
	connectionFraction = 0.4
	headFraction       = 0.05
	bodyFraction       = 0.2
	responseFraction   = 0.15

	// minHeadBytes and minBodyBytes leave room for a single long request on a VM with little
	// memory.
	minHeadBytes = 2 << 20
	minBodyBytes = 12 << 20

	// fileDescriptors is the number of descriptors that are not for sockets, and callerShare the
	// fraction of the others that accepted connections may take. The rest is for connections to
	// backend servers.
	fileDescriptors = 200
	callerShare     = 0.6
)

// LimitsOf returns the limits for a VM with a memory in bytes and a number of descriptors. Either
// may be zero if it is not known.
func LimitsOf(memoryBytes int64, descriptors int) Limits {
	share := func(fraction float64) int64 { return int64(fraction * float64(memoryBytes)) }
	limits := Limits{Connections: connectionsFor(descriptors)}
	if memoryBytes <= 0 {
		return limits
	}
	if fit := max(share(connectionFraction)/connectionBytes, 1); limits[Connections] == 0 || fit < limits[Connections] {
		limits[Connections] = fit
	}
	limits[Heads] = max(share(headFraction), minHeadBytes)
	limits[Bodies] = max(share(bodyFraction), minBodyBytes)
	limits[Responses] = share(responseFraction)
	return limits
}

// connectionsFor returns the number of connections for which there are descriptors, of the VM and
// of the process, or zero if neither is known.
func connectionsFor(descriptors int) int64 {
	var process unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &process); err == nil && (descriptors <= 0 || process.Cur < uint64(descriptors)) {
		descriptors = int(min(process.Cur, 1<<30))
	}
	if descriptors <= 0 {
		return 0
	}
	sockets := descriptors - min(fileDescriptors, descriptors/2)
	return max(int64(callerShare*float64(sockets)), 1)
}

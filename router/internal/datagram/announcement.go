package datagram

import (
	"math/rand/v2"
	"time"
)

const (
	// announcementDelay is the longest delay of an announcement where there are no other routers, and
	// announcementDelayStep what each of them adds.
	announcementDelay     = 10 * time.Millisecond
	announcementDelayStep = 500 * time.Microsecond
)

// AnnouncementDelay returns a random delay for what several routers find out at the same time. It is announced after
// that, and not at all by those that another router has told by then. The delay grows with the number of other routers.
func AnnouncementDelay(others int) time.Duration {
	return rand.N(announcementDelay + time.Duration(others)*announcementDelayStep)
}

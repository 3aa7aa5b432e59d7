package link

import "time"

const (
	// meanDivisor and deviationDivisor give the weights of a new sample, which
	// are 1/8 and 1/4.
	meanDivisor      = 8
	deviationDivisor = 4
)

// rttEstimate is an estimate of the round-trip time and its mean deviation,
// smoothed as TCP does.
type rttEstimate struct {
	mean      time.Duration
	deviation time.Duration
}

// add updates the estimate with a sample.
func (e *rttEstimate) add(sample time.Duration) {
	if e.mean == 0 {
		e.mean = sample
		e.deviation = sample / 2
		return
	}
	difference := sample - e.mean
	e.mean += difference / meanDivisor
	e.deviation += (difference.Abs() - e.deviation) / deviationDivisor
}

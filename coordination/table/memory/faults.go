package memory

import (
	"context"
	"fmt"
	"time"

	"snipetally.example/coordination/table"
)

// Mode says how a call fails.
type Mode uint8

const (
	// Healthy calls are answered, after the delay of the fault if it has one.
	Healthy Mode = iota

	// Unavailable calls are refused with table.ErrUnavailable.
	Unavailable

	// Hanging calls take no effect and return when their context ends.
	Hanging

	// LostRequest calls take no effect and return table.ErrUncertain.
	LostRequest

	// LostResponse calls take effect and return table.ErrUncertain.
	LostResponse
)

// Fault says what happens to one call. With a Delay the call is on its way for
// that long. A commit whose caller gives up earlier still takes effect when the
// delay is over, as it would at a slow table.
type Fault struct {
	Mode  Mode
	Delay time.Duration
}

// FaultFunc draws the fault of one call. It is called without any lock held and
// may be called concurrently.
type FaultFunc func(kind table.Kind) Fault

// Counts holds the number of calls by kind and of rows written or removed.
type Counts struct {
	Calls [table.NumKinds]int
	Rows  int
}

// SetFaults makes later calls ask faults. A nil value makes the table healthy.
func (t *Table) SetFaults(faults FaultFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = faults
}

// Counts returns the counts since the table was made. Refused and lost calls
// are included.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// fault counts a call and returns its fault.
func (t *Table) fault(kind table.Kind) Fault {
	t.mu.Lock()
	faults := t.faults
	t.counts.Calls[kind]++
	t.mu.Unlock()
	if faults == nil {
		return Fault{}
	}
	return faults(kind)
}

// fetch passes a read or list through its fault and runs effect unless the
// fault hides the result. A failed fetch wraps ErrUnavailable or ErrUncertain.
func (t *Table) fetch(ctx context.Context, kind table.Kind, effect func() []table.Row) ([]table.Row, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w: %w", kind, table.ErrUnavailable, err)
	}
	fault := t.fault(kind)
	if fault.Mode == Hanging {
		<-ctx.Done()
		return nil, fmt.Errorf("%s: %w: %w", kind, table.ErrUncertain, ctx.Err())
	}
	if err := sleep(ctx, fault.Delay); err != nil {
		return nil, fmt.Errorf("%s: %w: %w", kind, table.ErrUncertain, err)
	}
	switch fault.Mode {
	case Unavailable:
		return nil, fmt.Errorf("%s: %w", kind, table.ErrUnavailable)
	case LostRequest, LostResponse:
		return nil, fmt.Errorf("%s: %w", kind, table.ErrUncertain)
	default:
		return effect(), nil
	}
}

// send passes a commit through its fault.
func (t *Table) send(ctx context.Context, fault Fault, effect func() error) error {
	switch fault.Mode {
	case Unavailable:
		if err := sleep(ctx, fault.Delay); err != nil {
			return fmt.Errorf("%w: %w", table.ErrUncertain, err)
		}
		return table.ErrUnavailable
	case Hanging:
		<-ctx.Done()
		return fmt.Errorf("%w: %w", table.ErrUncertain, ctx.Err())
	case LostRequest:
		if err := sleep(ctx, fault.Delay); err != nil {
			return fmt.Errorf("%w: %w", table.ErrUncertain, err)
		}
		return table.ErrUncertain
	}
	err := t.delayed(ctx, fault.Delay, effect)
	if fault.Mode == LostResponse {
		return table.ErrUncertain
	}
	return err
}

// delayed runs effect when delay is over, whether or not ctx ends earlier. The
// timer is the only thing that outlives the call.
func (t *Table) delayed(ctx context.Context, delay time.Duration, effect func() error) error {
	if delay <= 0 {
		return effect()
	}
	done := make(chan error, 1)
	time.AfterFunc(delay, func() { done <- effect() })
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", table.ErrUncertain, ctx.Err())
	}
}

// sleep waits for delay or the end of ctx.
func sleep(ctx context.Context, delay time.Duration) error {
	if delay <= 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

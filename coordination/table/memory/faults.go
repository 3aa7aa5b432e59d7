package memory

import (
	"context"
	"fmt"
	"time"

	"snipetally.example/coordination/table"
)

// Mode is the way in which a call fails.
type Mode uint8

const (
	// Healthy calls succeed, after the delay of the fault if it has one.
	Healthy Mode = iota

	// Unavailable calls take no effect and return table.ErrUnavailable.
	Unavailable

	// Hanging calls take no effect and return table.ErrUncertain when their
	// context ends.
	Hanging

	// LostRequest calls take no effect and return table.ErrUncertain.
	LostRequest

	// LostResponse calls take effect and return table.ErrUncertain.
	LostResponse
)

// Fault is what happens to one call. Delay is the time before the call is
// carried out. A commit that takes effect does so after the delay even if its
// context ends earlier, as it would at a slow table.
type Fault struct {
	Mode  Mode
	Delay time.Duration
}

// FaultFunc returns the fault for one call. It is called without any lock held
// and may be called concurrently.
type FaultFunc func(kind table.Kind) Fault

// Counts holds the number of calls by kind and the number of rows written or
// removed.
type Counts struct {
	Calls [table.NumKinds]int
	Rows  int
}

// SetFaults sets the function that returns the faults of later calls. If it is
// nil, all calls are healthy.
func (t *Table) SetFaults(faults FaultFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = faults
}

// Counts returns the counts since the table was created. Calls that failed or
// were lost are included.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// nextFault counts a call and returns the fault for it.
func (t *Table) nextFault(kind table.Kind) Fault {
	t.mu.Lock()
	faults := t.faults
	t.counts.Calls[kind]++
	t.mu.Unlock()
	if faults == nil {
		return Fault{}
	}
	return faults(kind)
}

// readWithFault runs read unless the fault for the call makes it fail.
// The error wraps table.ErrUnavailable or table.ErrUncertain.
func (t *Table) readWithFault(ctx context.Context, kind table.Kind, read func() []table.Row) ([]table.Row, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w: %w", kind, table.ErrUnavailable, err)
	}
	fault := t.nextFault(kind)
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
		return read(), nil
	}
}

// commitWithFault runs apply as the fault says.
func (t *Table) commitWithFault(ctx context.Context, fault Fault, apply func() error) error {
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
	err := t.applyAfter(ctx, fault.Delay, apply)
	if fault.Mode == LostResponse {
		return table.ErrUncertain
	}
	return err
}

// applyAfter runs apply after the delay, whether or not ctx ends earlier. Only
// the timer may outlive the call.
func (t *Table) applyAfter(ctx context.Context, delay time.Duration, apply func() error) error {
	if delay <= 0 {
		return apply()
	}
	done := make(chan error, 1)
	time.AfterFunc(delay, func() { done <- apply() })
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", table.ErrUncertain, ctx.Err())
	}
}

// sleep waits for the delay or until ctx ends, and then returns its error.
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

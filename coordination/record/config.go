package record

import (
	"cmp"
	"context"
	"time"

	"snipetally.example/coordination/table"
)

// HomeLocator locates the home of a row. The home is the router that batches
// the records of new attempts for the row, so that few transactions carry the
// records of all routers. This only saves cost: it is harmless if two routers
// batch for the same row at once.
type HomeLocator interface {
	// Home returns the VM of the home of a partner's row. It skips VMs for
	// which avoided returns true. It returns an empty string if none is left or
	// if this router should write the records itself.
	Home(partner, row string, avoided func(vm string) bool) string
}

// Peers calls other routers by the name of their VM. An implementation maps
// each method to the method of Recorder that has the same name. Its calls honor
// the deadline of the context. Any error other than ErrUnknownAttempt leaves
// open whether the call arrived.
type Peers interface {
	// Commit hands an entry to a router that batches it.
	Commit(ctx context.Context, vm string, entry Entry) (CommitResult, error)

	// Await waits for the end of an attempt of the named incarnation.
	Await(ctx context.Context, vm, incarnation, attempt string) (Outcome, error)

	// Claim claims a location in the memory of another router.
	Claim(ctx context.Context, vm string, claim Claim) (Claim, error)
}

// Liveness is a hint whether an incarnation of a router is still running. It
// may be wrong either way.
type Liveness interface {
	Live(vm, incarnation string) bool
}

// Report is what a backend server reports about an attempt.
type Report struct {
	State ReportState

	// Response is set if State is ReportDone and the server still has it.
	Response *Response
}

// ReportState is what a backend server knows about an attempt.
type ReportState uint8

const (
	// ReportUnknown means that the server can't tell.
	ReportUnknown ReportState = iota

	// ReportDone means that the attempt ran to its end.
	ReportDone

	// ReportRunning means that the attempt is running.
	ReportRunning

	// ReportNotRun means that the attempt did not run, and that the server
	// refuses it from now on, even after a restart.
	ReportNotRun
)

// Prober asks a backend server about an attempt. An error means that the server
// can't tell.
type Prober interface {
	Probe(ctx context.Context, target, attempt string) (Report, error)
}

// ObjectStore keeps large responses as objects. Objects are removed by the
// lifetime rule of the object store, which has to be at least a day longer than
// Retention.
type ObjectStore interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

// Config configures a Recorder. Zero fields get defaults. Table and VM are
// required. All interfaces other than Table may be nil.
type Config struct {
	Table table.Table

	// VM is the name by which other routers reach this one.
	VM string

	// Incarnation is unique to each start of the process. If it is empty, it is
	// generated at random.
	Incarnation string

	Homes    HomeLocator
	Peers    Peers
	Liveness Liveness
	Prober   Prober
	Store    ObjectStore

	// WriteTimeout bounds the time in which Begin writes a record.
	WriteTimeout time.Duration

	// MinWriteInterval is the minimum time between the starts of two transactions that
	// write records of new attempts.
	MinWriteInterval time.Duration

	// MaxBatch is the maximum number of records in one such transaction.
	MaxBatch int

	// MaxInFlight is the maximum number of such transactions at a time.
	MaxInFlight int

	// CallTimeout bounds a single call to the table or to the home of a row.
	CallTimeout time.Duration

	// FlushDelay is the time for which outcomes are collected before they are
	// written.
	FlushDelay time.Duration

	// DispatchTimeout is the maximum time from the start of an attempt to its
	// dispatch.
	DispatchTimeout time.Duration

	// MaxInline is the maximum size, in bytes, of a response that is kept in
	// the table.
	MaxInline int

	// PageSize is the maximum number of outcomes in one row.
	PageSize int

	// MaxPending is the number of attempts that are running or not yet written
	// at which further calls are refused.
	MaxPending int

	// MaxHeldBytes is the number of bytes of unwritten outcomes at which further calls
	// are refused.
	MaxHeldBytes int

	// MaxRecentBytes is the maximum number of bytes of responses that are kept in
	// memory after they were written.
	MaxRecentBytes int

	// Retention is how long a response is kept, counted from the start of its
	// attempt.
	Retention time.Duration

	// MaxClockSkew is the maximum difference between the clocks of two VMs.
	MaxClockSkew time.Duration

	// SweepInterval is the time between two removals of expired rows.
	// MaxRemovals is the maximum number of rows that one transaction removes.
	SweepInterval time.Duration
	MaxRemovals   int

	// Observe, if set, is called at each step. Tests use it to pause and crash
	// a router.
	Observe func(ctx context.Context, step Step)
}

// setDefaults sets the zero fields to their defaults.
func (c *Config) setDefaults() {
	c.WriteTimeout = cmp.Or(c.WriteTimeout, 500*time.Millisecond)
	c.MinWriteInterval = cmp.Or(c.MinWriteInterval, 7*time.Millisecond)
	c.MaxBatch = cmp.Or(c.MaxBatch, 128)
	c.MaxInFlight = cmp.Or(c.MaxInFlight, 4)
	c.CallTimeout = cmp.Or(c.CallTimeout, 200*time.Millisecond)
	c.FlushDelay = cmp.Or(c.FlushDelay, 500*time.Millisecond)
	c.DispatchTimeout = cmp.Or(c.DispatchTimeout, 10*time.Second)
	c.MaxInline = cmp.Or(c.MaxInline, 1<<10)
	c.PageSize = cmp.Or(c.PageSize, 64)
	c.MaxPending = cmp.Or(c.MaxPending, 16<<10)
	c.MaxHeldBytes = cmp.Or(c.MaxHeldBytes, 64<<20)
	c.MaxRecentBytes = cmp.Or(c.MaxRecentBytes, 8<<20)
	c.Retention = cmp.Or(c.Retention, 24*time.Hour)
	c.MaxClockSkew = cmp.Or(c.MaxClockSkew, 5*time.Minute)
	c.SweepInterval = cmp.Or(c.SweepInterval, 10*time.Minute)
	c.MaxRemovals = cmp.Or(c.MaxRemovals, 200)
	if c.Incarnation == "" {
		c.Incarnation = newIncarnation()
	}
}

// observe calls Observe, if set.
func (c *Config) observe(ctx context.Context, step Step) {
	if c.Observe != nil {
		c.Observe(ctx, step)
	}
}

// Step is a point of a call at which Observe is called.
type Step string

// The steps, in the order in which a call passes them.
const (
	StepBegin       Step = "begin"
	StepHome        Step = "home"
	StepHomeDone    Step = "home done"
	StepCommit      Step = "commit"
	StepCommitDone  Step = "commit done"
	StepRead        Step = "read"
	StepReadDone    Step = "read done"
	StepGranted     Step = "granted"
	StepDispatch    Step = "dispatch"
	StepDispatched  Step = "dispatched"
	StepSettle      Step = "settle"
	StepSettled     Step = "settled"
	StepFlush       Step = "flush"
	StepFlushDone   Step = "flush done"
	StepAwait       Step = "await"
	StepAwaitDone   Step = "await done"
	StepProbe       Step = "probe"
	StepProbeDone   Step = "probe done"
	StepReplace     Step = "replace"
	StepClaim       Step = "claim"
	StepClaimDone   Step = "claim done"
	StepUnprotected Step = "unprotected"
)

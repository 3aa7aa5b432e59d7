package record

import (
	"context"
	"time"

	"snipetally.example/coordination/table"
)

// HomeLocator names the router that batches the begins of a row, so that few
// transactions carry the begins of all routers. It is a matter of cost only:
// two routers that batch for the same row at once do no harm.
type HomeLocator interface {
	// Home returns the VM that batches for the row of a partner. It passes
	// over VMs that avoided reports true for, and returns an empty string if
	// none is left or the router shall write for itself.
	Home(partner, row string, avoided func(vm string) bool) string
}

// Peers reaches other routers by the name of their VM. An implementation maps
// each method to the method of Book that has the same name. Its calls honor the
// deadline of the context. Any error other than ErrGone leaves open whether the
// call arrived.
type Peers interface {
	// Commit hands an entry to a router that batches it.
	Commit(ctx context.Context, vm string, entry Entry) (CommitResult, error)

	// Await waits for the end of an attempt of the named incarnation.
	Await(ctx context.Context, vm, incarnation, attempt string) (Outcome, error)

	// Claim asks for a row in the memory of another router.
	Claim(ctx context.Context, vm string, claim Claim) (Claim, error)
}

// Liveness is a hint whether an incarnation of a router still runs. It may be
// wrong in both ways.
type Liveness interface {
	Live(vm, incarnation string) bool
}

// Report is what a backend server tells about an attempt.
type Report struct {
	State ReportState

	// Response is set if State is ReportDone and the server still has it.
	Response *Response
}

// ReportState tells reports apart.
type ReportState uint8

const (
	// ReportUnknown says that the server can't tell.
	ReportUnknown ReportState = iota

	// ReportDone says that the attempt ran to its end.
	ReportDone

	// ReportRunning says that the attempt is being run.
	ReportRunning

	// ReportNotRun says that the attempt did not run, and that the server
	// refuses it from now on, also after a restart.
	ReportNotRun
)

// Prober asks a backend server about an attempt. An error means that the
// server can't tell.
type Prober interface {
	Probe(ctx context.Context, target, attempt string) (Report, error)
}

// ObjectStore keeps large answers as objects. Objects are removed by the lifetime
// rule of the object store, which has to be longer than Retention by a day.
type ObjectStore interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

// Config describes a Book. Zero fields get defaults. Table and VM are required;
// all interfaces other than Table may be nil.
type Config struct {
	Table table.Table

	// VM is the name by which other routers reach this one.
	VM string

	// Incarnation is unique to the start of the process. It is drawn at
	// random if it is empty.
	Incarnation string

	Homes    HomeLocator
	Peers    Peers
	Liveness Liveness
	Prober   Prober
	Store    ObjectStore

	// WriteTimeout bounds the time in which Begin writes a record.
	WriteTimeout time.Duration

	// Pace is the shortest time between the starts of two transactions of
	// begins by one router.
	Pace time.Duration

	// MaxBatch is the largest number of begins in one transaction.
	MaxBatch int

	// MaxInFlight is the largest number of such transactions at once.
	MaxInFlight int

	// CallTimeout bounds a single call to the table or to the home of a row.
	CallTimeout time.Duration

	// FlushDelay is the time for which outcomes are collected before they are
	// written.
	FlushDelay time.Duration

	// DispatchTimeout is the longest time from the begin of an attempt to its
	// dispatch.
	DispatchTimeout time.Duration

	// MaxInline is the largest answer, in bytes, that is kept in the table.
	MaxInline int

	// PageSize is the largest number of outcomes in one row.
	PageSize int

	// MaxPending is the largest number of attempts that are running or not yet
	// written. Further calls are refused.
	MaxPending int

	// Held is the number of bytes of unwritten outcomes at which further calls
	// are refused.
	Held int

	// Recent is the number of bytes of answers that are held in memory after
	// they were written.
	Recent int

	// Retention is the time for which an answer is kept, from its begin.
	Retention time.Duration

	// MaxClockSkew is the largest difference between the clocks of two VMs.
	MaxClockSkew time.Duration

	// SweepInterval is the time between two removals of expired rows, and Removals
	// the largest number of rows that one transaction removes.
	SweepInterval time.Duration
	MaxRemovals   int

	// Observe is called at each marked step, if it is set. Tests pause and
	// crash a router in it.
	Observe func(ctx context.Context, step Step)
}

// setDefaults fills the zero fields.
func (c *Config) setDefaults() {
	defaultTo(&c.WriteTimeout, 500*time.Millisecond)
	defaultTo(&c.Pace, 7*time.Millisecond)
	defaultTo(&c.MaxBatch, 128)
	defaultTo(&c.MaxInFlight, 4)
	defaultTo(&c.CallTimeout, 200*time.Millisecond)
	defaultTo(&c.FlushDelay, 500*time.Millisecond)
	defaultTo(&c.DispatchTimeout, 10*time.Second)
	defaultTo(&c.MaxInline, 1<<10)
	defaultTo(&c.PageSize, 64)
	defaultTo(&c.MaxPending, 16<<10)
	defaultTo(&c.Held, 64<<20)
	defaultTo(&c.Recent, 8<<20)
	defaultTo(&c.Retention, 24*time.Hour)
	defaultTo(&c.MaxClockSkew, 5*time.Minute)
	defaultTo(&c.SweepInterval, 10*time.Minute)
	defaultTo(&c.MaxRemovals, 200)
	if c.Incarnation == "" {
		c.Incarnation = newIncarnation()
	}
}

// observe marks a step.
func (c *Config) observe(ctx context.Context, step Step) {
	if c.Observe != nil {
		c.Observe(ctx, step)
	}
}

// defaultTo sets a zero field to its default.
func defaultTo[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Step is a marked point of a call at which a router may be paused or crash.
type Step string

// The marked steps, in the order in which a call passes them.
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

package command

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/juju/errors"

	"snipetally.example/operator/internal/link"
	"snipetally.example/wire/operators"
)

// errWaiting says that some VM has not confirmed a change in time.
const errWaiting = errors.ConstError("not in force everywhere")

const (
	tokenBytes  = 12
	waitBetween = 250 * time.Millisecond
)

// change holds the flags of commands that change something.
type change struct {
	app   *app
	base  uint64
	token string
	wait  bool
	limit time.Duration
}

func (c *change) flags(f *flag.FlagSet) {
	f.Uint64Var(&c.base, "base", 0, "revision that the change was made from, in place of the newest one")
	f.StringVar(&c.token, "token", "", "token of an earlier run of the same command")
	f.BoolVar(&c.wait, "wait", false, "wait until the change is in force everywhere")
	f.DurationVar(&c.limit, "limit", defaultLimit, "longest time to wait")
}

// apply sends the edits and waits if asked to.
func (c *change) apply(ctx context.Context, l *link.Client, edits ...*operators.Edit) error {
	base := c.base
	if base == 0 {
		status, err := l.Status(ctx, &operators.StatusRequest{})
		if err != nil {
			return link.MapReadError(err)
		}
		base = status.GetRevision()
	}
	token := c.token
	if token == "" {
		token = newToken()
	}
	reply, err := c.give(ctx, l, &operators.ApplyRequest{Base: base, Token: token, Edits: edits})
	if errors.Is(err, link.ErrUncertain) {
		return fmt.Errorf("repeat it with -base %d -token %s: %w", base, token, err)
	}
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.app.out, "accepted as revision %d\n", reply.GetRevision())
	if !c.wait {
		return nil
	}
	return c.await(ctx, l, reply.GetRevision())
}

// give sends a command. With -wait it sends one that was not taken again, with
// the same token, until the time to wait is over.
func (c *change) give(ctx context.Context, l *link.Client, request *operators.ApplyRequest) (*operators.ApplyReply, error) {
	limit := time.Now().Add(c.limit)
	for {
		reply, err := l.Apply(ctx, request)
		if err == nil {
			return reply, nil
		}
		cause := link.MapError(err)
		if !c.wait || !errors.Is(cause, link.ErrUnavailable) || time.Now().After(limit) {
			return nil, cause
		}
		select {
		case <-ctx.Done():
			return nil, cause
		case <-time.After(waitBetween):
		}
	}
}

// await waits until every live VM has confirmed the revision.
func (c *change) await(ctx context.Context, l *link.Client, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, c.limit)
	defer cancel()
	start := time.Now()
	waiting := "no status yet"
	for {
		status, err := l.Status(ctx, &operators.StatusRequest{})
		if err == nil {
			names := behind(status, revision, false)
			if len(names) == 0 {
				c.told(status, revision, time.Since(start))
				return nil
			}
			waiting = strings.Join(names, ", ")
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: waiting for %s", errWaiting, waiting)
		case <-time.After(waitBetween):
		}
	}
}

// told prints where a change is in force, and which VMs did not answer.
func (c *change) told(status *operators.StatusReply, revision uint64, took time.Duration) {
	confirmed := 0
	for _, vm := range status.GetConfirmations() {
		if vm.GetRevision() >= revision {
			confirmed++
		}
	}
	_, _ = fmt.Fprintf(c.app.out, "in force on %d VMs after %v\n", confirmed, took.Round(time.Millisecond))
	for _, name := range behind(status, revision, true) {
		_, _ = fmt.Fprintf(c.app.out, "not confirmed by %s\n", name)
	}
}

// behind names the VMs that are not known to have the revision in force. A VM
// that is believed dead is named only if dead is set.
func behind(status *operators.StatusReply, revision uint64, dead bool) []string {
	var names []string
	for _, vm := range status.GetConfirmations() {
		if vm.GetRevision() >= revision || vm.GetState() == stateLeft || vm.GetState() == stateDead && !dead {
			continue
		}
		names = append(names, fmt.Sprintf("%s (%s, revision %d, %s)",
			vm.GetName(), vm.GetState(), vm.GetRevision(), age(vm.GetAgeMs())))
	}
	return names
}

const (
	// stateLeft is the state of a VM that is gone and counts no more.
	stateLeft = "left"

	// stateDead is the state of a VM that does not answer. It takes no new work
	// for long, since it can't learn what is newest.
	stateDead = "dead"
)

// age prints a time in milliseconds.
func age(ms int64) string {
	if ms < 0 {
		return "never heard of"
	}
	return (time.Duration(ms) * time.Millisecond).Round(time.Millisecond).String() + " ago"
}

func newToken() string {
	var raw [tokenBytes]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// fields turns arguments of the form name=value into fields. A value that is
// JSON stands for itself, any other for the text that it is.
func fields(args []string) ([]*operators.Field, error) {
	var list []*operators.Field
	for _, arg := range args {
		name, value, ok := strings.Cut(arg, "=")
		if !ok || name == "" {
			return nil, fmt.Errorf("%q is not of the form name=value: %w", arg, errUsage)
		}
		raw := []byte(value)
		if !json.Valid(raw) {
			text, err := json.Marshal(value)
			if err != nil {
				return nil, fmt.Errorf("encode %s: %w", name, err)
			}
			raw = text
		}
		list = append(list, &operators.Field{Name: name, Value: raw})
	}
	return list, nil
}

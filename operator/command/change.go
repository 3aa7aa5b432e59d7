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

// errUnconfirmed means that some VMs did not confirm a change in time.
const errUnconfirmed = errors.ConstError("not in force everywhere")

const (
	// tokenBytes is the number of random bytes of a token.
	tokenBytes = 12

	// pollInterval is the pause between two status calls, and between two
	// attempts to send a change.
	pollInterval = 250 * time.Millisecond
)

// changeCommand holds the flags of a command that changes documents, and sends the
// change.
type changeCommand struct {
	app       *app
	base      uint64
	token     string
	wait      bool
	waitLimit time.Duration
}

// addFlags defines the flags.
func (c *changeCommand) addFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.base, "base", 0, "revision that the change is based on, instead of the newest one")
	f.StringVar(&c.token, "token", "", "token of an earlier run of the same command")
	f.BoolVar(&c.wait, "wait", false, "wait until the change is in force everywhere")
	f.DurationVar(&c.waitLimit, "limit", defaultWaitLimit, "longest time to wait")
}

// apply sends the edits and, with -wait, waits until they are in force.
func (c *changeCommand) apply(ctx context.Context, client *link.Client, edits ...*operators.Edit) error {
	base := c.base
	if base == 0 {
		status, err := client.Status(ctx, &operators.StatusRequest{})
		if err != nil {
			return link.MapReadError(err)
		}
		base = status.GetRevision()
	}
	token := c.token
	if token == "" {
		token = newToken()
	}
	reply, err := c.send(ctx, client, &operators.ApplyRequest{Base: base, Token: token, Edits: edits})
	if errors.Is(err, link.ErrUncertain) {
		return fmt.Errorf("repeat the command with -base %d -token %s: %w", base, token, err)
	}
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.app.stdout, "accepted as revision %d\n", reply.GetRevision())
	if !c.wait {
		return nil
	}
	return c.awaitConfirmation(ctx, client, reply.GetRevision())
}

// send sends a change. With -wait, it resends a change that the router or the table
// service did not accept, with the same token, until waitLimit has passed.
func (c *changeCommand) send(ctx context.Context, client *link.Client, request *operators.ApplyRequest) (*operators.ApplyReply, error) {
	deadline := time.Now().Add(c.waitLimit)
	for {
		reply, err := client.Apply(ctx, request)
		if err == nil {
			return reply, nil
		}
		mapped := link.MapError(err)
		if !c.wait || !errors.Is(mapped, link.ErrUnavailable) || time.Now().After(deadline) {
			return nil, mapped
		}
		select {
		case <-ctx.Done():
			return nil, mapped
		case <-time.After(pollInterval):
		}
	}
}

// awaitConfirmation waits until every VM has confirmed the revision, except those
// that have left or are dead.
func (c *changeCommand) awaitConfirmation(ctx context.Context, client *link.Client, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, c.waitLimit)
	defer cancel()
	start := time.Now()
	waiting := "no status yet"
	for {
		status, err := client.Status(ctx, &operators.StatusRequest{})
		if err == nil {
			names := unconfirmedVMs(status, revision, false)
			if len(names) == 0 {
				c.printConfirmation(status, revision, time.Since(start))
				return nil
			}
			waiting = strings.Join(names, ", ")
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: waiting for %s", errUnconfirmed, waiting)
		case <-time.After(pollInterval):
		}
	}
}

// printConfirmation prints how many VMs have confirmed the revision and which ones
// have not.
func (c *changeCommand) printConfirmation(status *operators.StatusReply, revision uint64, took time.Duration) {
	confirmed := 0
	for _, vm := range status.GetConfirmations() {
		if vm.GetRevision() >= revision {
			confirmed++
		}
	}
	_, _ = fmt.Fprintf(c.app.stdout, "in force on %d VMs after %v\n", confirmed, took.Round(time.Millisecond))
	for _, name := range unconfirmedVMs(status, revision, true) {
		_, _ = fmt.Fprintf(c.app.stdout, "not confirmed by %s\n", name)
	}
}

// unconfirmedVMs describes the VMs that have not confirmed the revision. It omits
// those that have left, and includes dead ones only if includeDead is set.
func unconfirmedVMs(status *operators.StatusReply, revision uint64, includeDead bool) []string {
	var names []string
	for _, vm := range status.GetConfirmations() {
		if vm.GetRevision() >= revision || vm.GetState() == stateLeft || vm.GetState() == stateDead && !includeDead {
			continue
		}
		names = append(names, fmt.Sprintf("%s (%s, revision %d, %s)",
			vm.GetName(), vm.GetState(), vm.GetRevision(), formatAge(vm.GetAgeMs())))
	}
	return names
}

const (
	// stateLeft is the state of a VM that has left. It need not confirm changes.
	stateLeft = "left"

	// stateDead is the state of a VM that does not respond. It soon stops accepting
	// new requests, since it can't learn the newest revision.
	stateDead = "dead"
)

// formatAge formats an age in milliseconds. A negative age means that nothing was
// ever received.
func formatAge(ms int64) string {
	if ms < 0 {
		return "never heard of"
	}
	return (time.Duration(ms) * time.Millisecond).Round(time.Millisecond).String() + " ago"
}

// newToken returns a random token that identifies a change.
func newToken() string {
	var raw [tokenBytes]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// parseFields parses arguments of the form name=value. A value that is valid JSON
// is used as it is, any other value is encoded as a JSON string.
func parseFields(args []string) ([]*operators.Field, error) {
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

package operators

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/twitchtv/twirp"

	"snipetally.example/coordination/membership"
	"snipetally.example/coordination/revision"
	"snipetally.example/coordination/spread"
	"snipetally.example/coordination/table"
	"snipetally.example/router/internal/document"
	"snipetally.example/router/internal/settings"
	wire "snipetally.example/wire/operators"
)

// Replicator provides the router's settings in force and what the other routers
// have confirmed.
type Replicator interface {
	Snapshot() *revision.Snapshot
	Report() spread.Report

	// AcceptsChanges reports whether this router should accept changes.
	AcceptsChanges() bool

	// Refresh reads the newest revision from the table immediately.
	Refresh(ctx context.Context)
}

// Writer commits changes to the table service. *revision.Store implements it.
type Writer interface {
	Commit(ctx context.Context, command revision.Command) (revision.Outcome, error)
}

// TableStatus is the result of the last call to the table service.
type TableStatus struct {
	State string

	// At is when the call ended, or zero if there was none.
	At time.Time
}

type accountKey struct{}

// withAccount returns a context that carries the account of a request's operator.
func withAccount(ctx context.Context, account *settings.Account) context.Context {
	return context.WithValue(ctx, accountKey{}, account)
}

func unauthenticated(w http.ResponseWriter) {
	_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "the key names no operator"))
}

// service implements the Twirp service of package wire/operators.
type service struct {
	options   Options
	validator validator
}

// List returns the documents of one kind, sorted by name.
func (s *service) List(_ context.Context, request *wire.ListRequest) (*wire.ListReply, error) {
	snapshot := s.options.Replicator.Snapshot()
	reply := &wire.ListReply{
		Revision: snapshot.Revision,
		Force:    string(snapshot.Documents[document.ActivePresetKey].Value),
	}
	prefix := document.Key(document.Kind(request.GetKind()), "")
	for key, d := range snapshot.Documents {
		if name, ok := strings.CutPrefix(key, prefix); ok {
			reply.Documents = append(reply.Documents, &wire.Document{
				Name:     name,
				Value:    d.Value,
				Revision: d.Revision,
			})
		}
	}
	sort.Slice(reply.Documents, func(i, j int) bool {
		return reply.Documents[i].GetName() < reply.Documents[j].GetName()
	})
	return reply, nil
}

// Apply commits an operator's edits. The reply has Repeated set if a command with
// the same token was committed before.
func (s *service) Apply(ctx context.Context, request *wire.ApplyRequest) (*wire.ApplyReply, error) {
	account, ok := ctx.Value(accountKey{}).(*settings.Account)
	if !ok {
		return nil, twirp.NewError(twirp.Unauthenticated, "the key names no operator")
	}
	if request.GetToken() == "" || len(request.GetEdits()) == 0 {
		return nil, twirp.NewError(twirp.InvalidArgument, "a token and an edit are needed")
	}
	if !s.waitUntilAccepting(ctx) {
		return nil, twirp.NewError(twirp.Unavailable, "this router is cut off from the greater part of the others; try another one")
	}
	if request.GetBase() > s.options.Replicator.Snapshot().Revision {
		s.options.Replicator.Refresh(ctx)
	}
	snapshot := s.options.Replicator.Snapshot()
	if snapshot.Revision == 0 {
		return nil, twirp.NewError(twirp.Unavailable, "the router has no settings yet")
	}
	changes, err := s.validator.changes(snapshot, account, editsFromWire(request.GetEdits()))
	if err != nil {
		return nil, toTwirpError(err)
	}
	base := request.GetBase()
	if base == 0 {
		base = snapshot.Revision
	}
	result, err := s.options.Writer.Commit(ctx, revision.Command{
		Author:  account.Name,
		Token:   request.GetToken(),
		Base:    base,
		Changes: changes,
		Check:   s.validator.validate,
	})
	if err != nil {
		return nil, toTwirpError(err)
	}
	reply := &wire.ApplyReply{Revision: result.Revision, Repeated: result.Repeated}
	s.options.Log.Info().
		Str("operator", account.Name).
		Str("token", request.GetToken()).
		Uint64("revision", reply.GetRevision()).
		Bool("repeated", reply.GetRepeated()).
		Str("edits", describeEdits(request.GetEdits())).
		Msg("change accepted")
	s.options.Replicator.Refresh(ctx)
	return reply, nil
}

const (
	// acceptTimeout is the time in which a router that has just started, or was
	// paused, learns whether it is among the majority of the routers.
	acceptTimeout      = 5 * time.Second
	acceptPollInterval = 50 * time.Millisecond
)

// waitUntilAccepting reports whether this router should accept changes. It waits up
// to acceptTimeout, since the router may not know yet.
func (s *service) waitUntilAccepting(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	ticker := time.NewTicker(acceptPollInterval)
	defer ticker.Stop()
	for !s.options.Replicator.AcceptsChanges() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// describeEdits summarizes edits for the log, without field values.
func describeEdits(edits []*wire.Edit) string {
	names := make([]string, 0, len(edits))
	for _, edit := range edits {
		names = append(names, fmt.Sprintf("%s %s %s", edit.GetAction(), edit.GetKind(), edit.GetName()))
	}
	return strings.Join(names, ", ")
}

// editsFromWire converts edits from their wire form. Unknown actions become
// ActionSet.
func editsFromWire(edits []*wire.Edit) []Edit {
	out := make([]Edit, 0, len(edits))
	for _, edit := range edits {
		e := Edit{Kind: document.Kind(edit.GetKind()), Name: edit.GetName()}
		switch edit.GetAction() {
		case wire.Action_ACTION_ADD:
			e.Action = ActionAdd
		case wire.Action_ACTION_REMOVE:
			e.Action = ActionRemove
		case wire.Action_ACTION_FORCE:
			e.Action = ActionForce
		default:
			e.Action = ActionSet
		}
		for _, field := range edit.GetFields() {
			e.Fields = append(e.Fields, Field{Name: field.GetName(), Value: field.GetValue()})
		}
		out = append(out, e)
	}
	return out
}

// toTwirpError converts an error to a Twirp error with the matching code.
func toTwirpError(err error) error {
	if superseded, ok := errors.AsType[*revision.SupersededError](err); ok {
		return twirp.NewError(twirp.FailedPrecondition, superseded.Error()).
			WithMeta("document", superseded.Document).
			WithMeta("revision", strconv.FormatUint(superseded.Revision, 10)).
			WithMeta("author", superseded.Author)
	}
	for _, mapping := range []struct {
		target error
		code   twirp.ErrorCode
	}{
		{ErrForbidden, twirp.PermissionDenied},
		{ErrNotFound, twirp.NotFound},
		{ErrExists, twirp.AlreadyExists},
		{document.ErrInvalid, twirp.InvalidArgument},
		{revision.ErrInvalid, twirp.InvalidArgument},
		{revision.ErrUnknownBase, twirp.InvalidArgument},
		{revision.ErrRegressed, twirp.Unavailable},
		{table.ErrUnavailable, twirp.Unavailable},
		{table.ErrUncertain, twirp.DeadlineExceeded},
	} {
		if errors.Is(err, mapping.target) {
			return twirp.NewError(mapping.code, err.Error())
		}
	}
	return twirp.NewError(twirp.Internal, err.Error())
}

// Status returns the state of this router and the revisions that the other
// routers have confirmed.
func (s *service) Status(_ context.Context, _ *wire.StatusRequest) (*wire.StatusReply, error) {
	report := s.options.Replicator.Report()
	snapshot := s.options.Replicator.Snapshot()
	now := time.Now()
	table := s.options.TableStatus()
	reply := &wire.StatusReply{
		Revision:   report.Revision,
		Force:      string(snapshot.Documents[document.ActivePresetKey].Value),
		Vm:         s.options.VM,
		Ready:      s.options.Ready(),
		Table:      table.State,
		TableAgeMs: ageMs(now, table.At),
	}
	for _, c := range report.Members {
		reply.Confirmations = append(reply.Confirmations, &wire.Confirmation{
			Name:     c.Member.Name,
			Address:  c.Member.Address,
			Zone:     c.Member.Zone,
			Region:   c.Member.Region,
			State:    c.Member.State.String(),
			Revision: c.Revision,
			AgeMs:    ageMs(now, c.At),
		})
	}
	for _, vm := range report.Unheard {
		reply.Confirmations = append(reply.Confirmations, unheardConfirmation(vm))
	}
	return reply, nil
}

// unheardConfirmation returns the entry of a listed VM that no router has heard
// from.
func unheardConfirmation(vm membership.VM) *wire.Confirmation {
	return &wire.Confirmation{
		Name:    vm.Name,
		Address: vm.Address,
		Zone:    vm.Zone,
		Region:  vm.Region,
		State:   "unheard",
		AgeMs:   -1,
	}
}

// ageMs returns the time since at in milliseconds, or -1 if at is zero.
func ageMs(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

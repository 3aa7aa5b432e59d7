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

// Replicator is what the router has in force and knows of the other routers.
type Replicator interface {
	Snapshot() *revision.Snapshot
	Confirmed() spread.Report

	// Accepts reports whether this router should take changes.
	Accepts() bool

	// Learn reads the newest revision from the table at once.
	Learn(ctx context.Context)
}

// Writer writes changes to the table service. *revision.Store is one.
type Writer interface {
	Commit(ctx context.Context, command revision.Command) (revision.Outcome, error)
}

// TableStatus tells how the last call to the table service ended.
type TableStatus struct {
	State string

	// At is when it ended, or zero if there was none.
	At time.Time
}

type accountKey struct{}

// withAccount returns a context that carries the operator of a request.
func withAccount(ctx context.Context, account *settings.Account) context.Context {
	return context.WithValue(ctx, accountKey{}, account)
}

func unauthenticated(w http.ResponseWriter) {
	_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "the key names no operator"))
}

// service implements the wire contract.
type service struct {
	options   Options
	validator validator
}

// List implements the wire contract.
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

// Apply implements the wire contract.
func (s *service) Apply(ctx context.Context, request *wire.ApplyRequest) (*wire.ApplyReply, error) {
	account, ok := ctx.Value(accountKey{}).(*settings.Account)
	if !ok {
		return nil, twirp.NewError(twirp.Unauthenticated, "the key names no operator")
	}
	if request.GetToken() == "" || len(request.GetEdits()) == 0 {
		return nil, twirp.NewError(twirp.InvalidArgument, "a token and an edit are needed")
	}
	if !s.accepting(ctx) {
		return nil, twirp.NewError(twirp.Unavailable, "this router is cut off from the greater part of the others; try another one")
	}
	if request.GetBase() > s.options.Replicator.Snapshot().Revision {
		s.options.Replicator.Learn(ctx)
	}
	snapshot := s.options.Replicator.Snapshot()
	if snapshot.Revision == 0 {
		return nil, twirp.NewError(twirp.Unavailable, "the router has no settings yet")
	}
	changes, err := s.validator.changes(snapshot, account, editsFromWire(request.GetEdits()))
	if err != nil {
		return nil, failure(err)
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
		return nil, failure(err)
	}
	reply := &wire.ApplyReply{Revision: result.Revision, Repeated: result.Repeated}
	s.options.Log.Info().
		Str("operator", account.Name).
		Str("token", request.GetToken()).
		Uint64("revision", reply.GetRevision()).
		Bool("repeated", reply.GetRepeated()).
		Str("edits", describe(request.GetEdits())).
		Msg("change accepted")
	s.options.Replicator.Learn(ctx)
	return reply, nil
}

const (
	// acceptWait is the time in which a router that was just started, or that
	// was paused, learns whether it is among the greater part of the routers.
	acceptWait  = 5 * time.Second
	acceptPause = 50 * time.Millisecond
)

// accepting reports whether this router should take changes. It waits shortly
// for a router that does not know yet.
func (s *service) accepting(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, acceptWait)
	defer cancel()
	ticker := time.NewTicker(acceptPause)
	defer ticker.Stop()
	for !s.options.Replicator.Accepts() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// describe names what edits do, without the values.
func describe(edits []*wire.Edit) string {
	names := make([]string, 0, len(edits))
	for _, edit := range edits {
		names = append(names, fmt.Sprintf("%s %s %s", edit.GetAction(), edit.GetKind(), edit.GetName()))
	}
	return strings.Join(names, ", ")
}

// editsFromWire maps edits by hand.
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

// failure maps an error to the wire contract's.
func failure(err error) error {
	if lost, ok := errors.AsType[*revision.SupersededError](err); ok {
		return twirp.NewError(twirp.FailedPrecondition, lost.Error()).
			WithMeta("document", lost.Document).
			WithMeta("revision", strconv.FormatUint(lost.Revision, 10)).
			WithMeta("author", lost.Author)
	}
	for _, known := range []struct {
		cause error
		code  twirp.ErrorCode
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
		if errors.Is(err, known.cause) {
			return twirp.NewError(known.code, err.Error())
		}
	}
	return twirp.NewError(twirp.Internal, err.Error())
}

// Status implements the wire contract.
func (s *service) Status(_ context.Context, _ *wire.StatusRequest) (*wire.StatusReply, error) {
	report := s.options.Replicator.Confirmed()
	snapshot := s.options.Replicator.Snapshot()
	now := time.Now()
	at := s.options.TableStatus()
	reply := &wire.StatusReply{
		Revision:   report.Revision,
		Force:      string(snapshot.Documents[document.ActivePresetKey].Value),
		Vm:         s.options.VM,
		Ready:      s.options.Ready(),
		Table:      at.State,
		TableAgeMs: ageMs(now, at.At),
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
		reply.Confirmations = append(reply.Confirmations, unheard(vm))
	}
	return reply, nil
}

// unheard is the entry of a listed VM that no router has heard from.
func unheard(vm membership.VM) *wire.Confirmation {
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

package operator

import (
	"context"
	"errors"
	"regexp"
	"time"

	"connectrpc.com/connect"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/result"
)

var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// Apply implements ConfigServiceHandler.
func (s *Server) Apply(ctx context.Context, req *connect.Request[pb.ApplyRequest]) (*connect.Response[pb.ApplyResponse], error) {
	start := time.Now()
	change, err := newChange(req.Msg)
	if err != nil {
		return nil, toConnectError(err)
	}
	outcome, err := s.propose(ctx, change)
	if err != nil {
		return nil, toConnectError(err)
	}
	s.opts.Log.Info().Str("event", eventChangeAccepted).
		Str("change", change.ID).Str("kind", string(change.Kind)).Str("name", change.Name).
		Bool("delete", change.Delete).Int64("revision", outcome.Revision).Send()
	res := &pb.ApplyResponse{Revision: outcome.Revision}
	if !req.Msg.GetWait() {
		return connect.NewResponse(res), nil
	}
	res.WaitingFor, err = s.waitApplied(ctx, outcome.Revision)
	if err != nil {
		return nil, toConnectError(err)
	}
	if len(res.WaitingFor) == 0 {
		res.InForceSeconds = time.Since(start).Seconds()
	}
	return connect.NewResponse(res), nil
}

// newChange converts a request to a change. It validates only what does not depend on
// other objects. The rest is validated in log order, and a retried change must get
// its first outcome even if the objects have changed since.
func newChange(req *pb.ApplyRequest) (config.Change, error) {
	if !changeIDPattern.MatchString(req.GetChangeId()) {
		return config.Change{}, result.New(result.InvalidObject, result.WithField("change_id"),
			result.WithMessage("want 1 to 64 of letters, digits, '.', '_' and '-'"))
	}
	if req.GetBasedOn() < 0 {
		return config.Change{}, result.New(result.InvalidObject, result.WithField("based_on"),
			result.WithMessage("a revision is at least 0"))
	}
	value, err := config.FromObject(req.GetObject())
	if err != nil {
		return config.Change{}, err
	}
	change := config.Change{
		ID:      req.GetChangeId(),
		Kind:    config.KindOf(value),
		Name:    value.GetName(),
		BasedOn: req.GetBasedOn(),
		Delete:  req.GetDelete(),
	}
	if change.Delete {
		return change, nil
	}
	if err := config.Validate(value); err != nil {
		return config.Change{}, err
	}
	change.Value, err = config.Encode(value)
	return change, err
}

// propose appends a change to the log and returns once this node has applied it.
func (s *Server) propose(ctx context.Context, change config.Change) (config.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	outcome, err := s.opts.Proposer.Propose(ctx, change)
	if err != nil {
		return config.Outcome{}, withResultCode(err)
	}
	if err := s.opts.Configuration.Wait(ctx, outcome.Revision); err != nil {
		return config.Outcome{}, withResultCode(err)
	}
	return outcome, nil
}

// withResultCode returns err with a result code; an error without a code becomes
// OutcomeUnknown, since the change may or may not be in the log.
func withResultCode(err error) error {
	var coded *result.Error
	if errors.As(err, &coded) {
		return coded
	}
	return result.Wrap(err, result.OutcomeUnknown)
}

// Get implements ConfigServiceHandler.
func (s *Server) Get(_ context.Context, req *connect.Request[pb.GetRequest]) (*connect.Response[pb.GetResponse], error) {
	kind, err := config.ParseKind(req.Msg.GetKind())
	if err != nil {
		return nil, toConnectError(err)
	}
	item, ok := s.opts.Configuration.View().Item(kind, req.Msg.GetName())
	if !ok {
		return nil, toConnectError(result.New(result.UnknownObject, result.WithField("name"),
			result.WithMessage("no %s %q is configured", kind, req.Msg.GetName())))
	}
	return connect.NewResponse(&pb.GetResponse{Object: config.ToObject(item.Value, item.Revision)}), nil
}

// List implements ConfigServiceHandler.
func (s *Server) List(_ context.Context, req *connect.Request[pb.ListRequest]) (*connect.Response[pb.ListResponse], error) {
	kinds := config.Kinds()
	if name := req.Msg.GetKind(); name != "" {
		kind, err := config.ParseKind(name)
		if err != nil {
			return nil, toConnectError(err)
		}
		kinds = []config.Kind{kind}
	}
	view := s.opts.Configuration.View()
	res := &pb.ListResponse{Applied: view.Applied()}
	for _, kind := range kinds {
		for _, item := range view.Items(kind) {
			res.Objects = append(res.Objects, config.ToObject(item.Value, item.Revision))
		}
	}
	return connect.NewResponse(res), nil
}

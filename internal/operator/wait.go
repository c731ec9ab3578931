package operator

import (
	"context"
	"slices"
	"time"

	"github.com/cherryward/cherryward/internal/result"
)

// waitApplied waits until every live node has applied a revision. After maxWait or at
// shutdown it returns the ids of the nodes that have not. The change is already
// accepted, so errors of the wait have the run state Ran.
func (s *Server) waitApplied(ctx context.Context, revision int64) (behind []string, err error) {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	tick := time.NewTicker(waitPollInterval)
	defer tick.Stop()
	for {
		nodes, err := s.opts.Nodes.Applied(ctx)
		if err != nil {
			return nil, result.Wrap(err, result.Internal, result.WithRunState(result.Ran), result.WithRevision(revision),
				result.WithMessage("the change is accepted, but the nodes can't be told"))
		}
		behind = nodesBehind(nodes, revision)
		if len(behind) == 0 {
			return nil, nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return behind, nil
		case <-s.stopping:
			return behind, nil
		}
	}
}

// nodesBehind returns the sorted ids of the live nodes that have not applied a
// revision.
func nodesBehind(nodes []NodeApplied, revision int64) []string {
	var ids []string
	for _, node := range nodes {
		if node.Live && node.Applied < revision {
			ids = append(ids, node.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

package rollout

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/result"
)

// Progress is the progress of the rollout of one model, according to its board.
type Progress struct {
	Model   string
	Version string // requested version
	Stage   Stage
	Holding int // engines that hold or load the version
	Engines int // engines configured
}

// supervisor handles the models whose boards this node owns: it logs the progress of their rollouts,
// and reverts rollouts that fail.
type supervisor struct {
	board        *board
	configSource ConfigSource
	proposer     config.Proposer
	configFresh  func() bool
	// ownsBoard reports whether this node owns a model's board.
	ownsBoard  func(model string) bool
	counters   *Counters
	log        zerolog.Logger
	lastLogged map[string]Progress // by model
}

// check logs progress and reverts failed rollouts. What fails is retried by the next call.
func (s *supervisor) check(ctx context.Context) {
	view := s.configSource.View()
	for _, f := range s.board.combineAll(time.Now(), view) {
		if !s.ownsBoard(f.target.Model) {
			continue
		}
		s.report(f.progress())
		if f.stage() != Failed || !s.configFresh() {
			continue
		}
		if change, ok := revertChange(view, f); ok {
			s.revert(ctx, f, change)
		}
	}
}

func (s *supervisor) report(p Progress) {
	if s.lastLogged[p.Model] == p {
		return
	}
	s.lastLogged[p.Model] = p
	s.log.Info().Str("event", eventStage).Str("model", p.Model).Str("version", p.Version).
		Str("stage", p.Stage.String()).Int("holding", p.Holding).Int("engines", p.Engines).Send()
}

func (s *supervisor) revert(ctx context.Context, f modelEngines, change config.Change) {
	ctx, cancel := context.WithTimeout(ctx, revertTimeout)
	defer cancel()
	outcome, err := s.proposer.Propose(ctx, change)
	event := s.log.Warn().Str("model", f.target.Model).Str("failed_version", f.target.Version).Str("change_id", change.ID)
	if err != nil {
		event.Str("event", eventNotReverted).Int("code", int(result.From(err).Code)).Err(err).Send()
		return
	}
	s.counters.Undone.Add(1)
	event.Str("event", eventReverted).Int64("revision", outcome.Revision).Send()
}

// combineAll returns the engines of the models for which the board has enough reports, sorted by name.
func (b *board) combineAll(now time.Time, view *config.View) []modelEngines {
	b.mu.Lock()
	defer b.mu.Unlock()
	var known []modelEngines
	for name := range b.models {
		if f, ok := b.combine(now, view, name); ok {
			known = append(known, f)
		}
	}
	slices.SortFunc(known, func(a, b modelEngines) int { return strings.Compare(a.target.Model, b.target.Model) })
	return known
}

func (f modelEngines) progress() Progress {
	p := Progress{Model: f.target.Model, Version: f.target.Version, Stage: f.stage(), Engines: f.size}
	for _, r := range f.engines {
		if _, ok := r.holding(f.target.Version); ok {
			p.Holding++
		}
	}
	return p
}

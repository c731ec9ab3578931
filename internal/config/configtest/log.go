// Package configtest provides an in-memory fake of the replicated configuration for
// tests. It runs in one process, orders all changes, and can lose responses.
package configtest

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/result"
)

// Log validates proposed changes and applies them to a config.Store.
type Log struct {
	*config.Store
	// The next LoseAnswers proposals are applied but return OutcomeUnknown.
	LoseAnswers atomic.Int32

	mu       sync.Mutex
	offset   int64
	outcomes map[string]config.Outcome
}

var _ config.Proposer = (*Log)(nil)

// New returns an empty log.
func New() *Log {
	return &Log{Store: config.NewStore(), outcomes: make(map[string]config.Outcome)}
}

// Propose implements config.Proposer.
func (l *Log) Propose(_ context.Context, c config.Change) (config.Outcome, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	outcome, exists := l.outcomes[c.ID]
	if !exists {
		l.offset++
		if err := l.accept(c); err != nil {
			return config.Outcome{}, err
		}
		outcome = config.Outcome{Revision: l.offset}
		l.outcomes[c.ID] = outcome
	}
	if l.LoseAnswers.Load() > 0 {
		l.LoseAnswers.Add(-1)
		return config.Outcome{}, result.New(result.OutcomeUnknown)
	}
	return outcome, nil
}

func (l *Log) accept(c config.Change) error {
	view := l.View()
	if item, _ := view.Item(c.Kind, c.Name); item.Revision != c.BasedOn {
		return result.New(result.RevisionConflict, result.WithRevision(item.Revision))
	}
	entry := config.Entry{Revision: l.offset, ChangeID: c.ID, Kind: c.Kind, Name: c.Name}
	if c.Delete {
		if err := config.CheckDelete(view, c.Kind, c.Name); err != nil {
			return err
		}
		l.Apply(entry)
		return nil
	}
	value, err := config.Decode(c.Kind, c.Value)
	if err != nil {
		return err
	}
	if err := config.CheckPut(view, value); err != nil {
		return err
	}
	entry.Value = value
	l.Apply(entry)
	return nil
}

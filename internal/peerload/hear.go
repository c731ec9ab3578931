package peerload

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/fleet"
)

// learnVersions takes over what peers were told by engines of their weights. It counts from
// when these said it, so that a late digest does no harm.
func (e *Exchange) learnVersions(seen []Seen, now time.Time) {
	if len(seen) == 0 {
		return
	}
	member := e.lookUp()
	for i := range seen {
		for at, id := range seen[i].Endpoints {
			if m := member(id); m != nil {
				m.Heard(seen[i].statement(at, now))
			}
		}
	}
}

// lookUp returns what finds an endpoint by its id.
func (e *Exchange) lookUp() func(id string) *fleet.Member {
	if e.config.Member != nil {
		return e.config.Member
	}
	byID := make(map[string]*fleet.Member)
	for _, m := range e.config.Members() {
		byID[m.ID] = m
	}
	return func(id string) *fleet.Member { return byID[id] }
}

// take notes what a peer tells.
func (e *Exchange) take(params json.RawMessage) (any, error) {
	var d Digest
	if err := json.Unmarshal(params, &d); err != nil {
		return nil, eris.Wrap(err, "decode a digest")
	}
	if err := d.check(); err != nil {
		return nil, err
	}
	now := e.config.Clock.Now()
	e.Table.Take(d, now)
	e.learnVersions(d.Seen, now)
	e.learnLimits(d.Limits, now)
	if d.Collected != nil {
		e.learnVersions(d.Collected.Seen, now)
		e.learnLimits(d.Collected.Limits, now)
	}
	return nil, nil
}

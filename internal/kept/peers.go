package kept

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/datagram"
)

const (
	// eventsMethod is the name of the call. It may be repeated. A node of a build that answers
	// otherwise must not know it, so that the stores themselves are asked.
	eventsMethod = "node.stores"
	// askPause is the time between two questions to another node.
	askPause = 300 * time.Millisecond
	// askTimeout bounds a question to a node of the same failure domain.
	askTimeout = 150 * time.Millisecond
	// askAgain is how long stores are asked themselves after a node didn't answer.
	askAgain = time.Second
	// mostChanges bounds the changes in an answer, of changeBytes each at most in a datagram,
	// and leastChanges is what is told where the connection has no bytes to spare: other answers
	// go before events, which come late at worst.
	mostChanges  = 300
	leastChanges = 20
	changeBytes  = 36
)

// Peers has few nodes of a large system ask the stores for their events, and the others
// ask those.
//
// What another node tells is as good as what the store told it: changes in the order of
// their numbers, of one epoch, without a gap. Where it can't tell that, it says nothing of
// a store, and the store itself is asked.
type Peers struct {
	Index *Index
	Conn  *datagram.Conn
	// Readers are the nodes that ask the stores. None means that this node does.
	Readers func() []netip.AddrPort
	turn    int
}

// told is what one node tells another.
type told struct {
	Events  []toldStore `json:"events"`
	ClockMS int64       `json:"clock_ms"`
}

// toldStore are the changes of one store.
type toldStore struct {
	Position
	Changes packed `json:"changes,omitempty"`
}

// Serve answers other nodes. It must be called before the connection runs.
func (p *Peers) Serve() {
	p.Conn.Handle(eventsMethod, func(params json.RawMessage) (any, error) {
		var asked []Position
		if err := json.Unmarshal(params, &asked); err != nil {
			return nil, eris.Wrap(err, "decode a question for events")
		}
		return p.Index.tell(asked, min(max(p.Conn.Spare()/changeBytes, leastChanges), mostChanges)), nil
	})
}

// tell returns what this node knows beyond the positions, up to so many changes.
func (x *Index) tell(asked []Position, most int) told {
	answer := told{ClockMS: x.ClockMS()}
	for _, position := range asked {
		store := x.store(position.Addr)
		if store == nil || most == 0 {
			continue
		}
		events, ok := store.Since(position, most)
		if !ok {
			continue
		}
		most -= len(events.Changes)
		answer.Events = append(answer.Events, toldStore{
			Position: Position{Addr: store.Addr, Epoch: events.Epoch, Next: events.Next}, Changes: packChanges(events.Changes),
		})
	}
	return answer
}

// store returns the store at an address, or nil.
func (x *Index) store(addr string) *Holder {
	for _, h := range x.Stores() {
		if h.Addr == addr {
			return h
		}
	}
	return nil
}

// Run asks another node for the stores' events until ctx is done.
func (p *Peers) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := askPause
		if readers := p.Readers(); len(readers) > 0 {
			if err := p.ask(ctx, readers[p.turn%len(readers)]); err != nil && ctx.Err() == nil {
				p.Index.Log.Info().Str("event", "events_unrelayed").AnErr("cause", err).Send()
				p.turn++
				pause = askAgain
			}
		}
		retry.Sleep(ctx, pause)
	}
	return nil
}

// ask asks one node for all stores' events.
func (p *Peers) ask(ctx context.Context, reader netip.AddrPort) error {
	stores := p.Index.Stores()
	asked := make([]Position, len(stores))
	for i, h := range stores {
		asked[i] = h.Position()
	}
	if len(asked) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var answer told
	if err := p.Conn.Call(ctx, reader, eventsMethod, asked, &answer); err != nil {
		return err
	}
	until := time.Now().Add(relayedFor)
	for _, t := range answer.Events {
		store := p.Index.store(t.Addr)
		if store == nil {
			continue
		}
		changes, err := t.Changes.unpack()
		if err != nil {
			return eris.Wrapf(err, "what a node tells of store %s", t.Addr)
		}
		// The clock is as old as the answer, so that fetches end early rather than late.
		p.Index.Take(store, &Events{Epoch: t.Epoch, Next: t.Next, Changes: changes, ClockMS: answer.ClockMS})
		store.relayed.Store(&until)
	}
	return nil
}

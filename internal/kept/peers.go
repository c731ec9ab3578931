package kept

import (
	"context"
	"encoding/base64"
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
	eventsMethod = "node.kept"
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
	// answerBytes bounds an answer, with room for what is around it, and storeBytes is what each store
	// takes in it beyond its changes or pages.
	answerBytes = datagram.MaxBytes - 1<<10
	storeBytes  = 100
	// mostAgeMs bounds the ages that nodes tell, in ms: an older word is worth no more.
	mostAgeMs = 3600_000
	// mostAnswers bounds the answers to one look: 41 stores of 1,300 parts each take 119.
	mostAnswers = 500
)

// Peers has few nodes of a large system ask the stores for their events, and the others
// ask those.
//
// What another node tells is as good as what the store told it: changes in the order of
// their numbers, of one epoch, without a gap, or all that is kept to a node that starts. Where it
// can't tell that, it says nothing of a store, and the store itself is asked.
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
	// More is true where there was no room for stores of which the asker knows nothing.
	More bool `json:"more,omitempty"`
}

// toldStore are the changes of one store.
type toldStore struct {
	Position
	Changes packed `json:"changes,omitempty"`
	// AgeMs is how long ago the store was certainly in its epoch, and SavesInMs how much longer
	// nothing is to be sent there.
	AgeMs     int64 `json:"age_ms"`
	SavesInMs int64 `json:"saves_in_ms,omitempty"`
	// Page is nil, or says that Changes are a page of all that the store kept before Next.
	Page *Page `json:"page,omitempty"`
}

// Serve answers other nodes. It must be called before the connection runs.
func (p *Peers) Serve() {
	p.Conn.Handle(eventsMethod, func(params json.RawMessage) (any, error) {
		var asked []Position
		if err := json.Unmarshal(params, &asked); err != nil {
			return nil, eris.Wrap(err, "decode a question for events")
		}
		return p.Index.tell(asked, p.Conn.Spare()), nil
	})
}

// tell returns what this node knows beyond the positions: all of the stores of which the asker knows
// nothing, as far as there is room, and what happened at the others, which are not asked for as long
// as each answer speaks of them. It takes about as many bytes as there are to spare, but
// leastChanges in any case.
func (x *Index) tell(asked []Position, spare int) told {
	answer := told{ClockMS: x.ClockMS()}
	room := min(spare, answerBytes)
	known := 0
	for i := range asked {
		if !asked[i].unknown() {
			known++
		}
	}
	most := min(max(spare/changeBytes, leastChanges), mostChanges)
	taken := x.tellPages(&answer, asked, max(room-known*storeBytes, room/2))
	if taken > 0 {
		most = leastChanges
	}
	x.tellChanges(&answer, asked, most, answerBytes-taken)
	return answer
}

// tellPages adds pages of the stores of which the asker knows nothing, in so many bytes of the message.
// It returns how many it took.
func (x *Index) tellPages(answer *told, asked []Position, room int) (taken int) {
	for i := range asked {
		store := x.store(asked[i].Addr)
		if store == nil || !asked[i].unknown() {
			continue
		}
		s, ok := store.snapshot()
		if !ok {
			continue // only the store itself can tell
		}
		for number := s.after(asked[i].Copied); number < len(s.pages); number++ {
			needs := base64.StdEncoding.EncodedLen(len(s.pages[number])) + storeBytes
			if taken+needs > room {
				answer.More = taken > 0
				return taken
			}
			taken += needs
			told := x.newTold(store, s.epoch, s.next, s.pages[number])
			told.Page = &Page{Number: number, Of: len(s.pages)}
			answer.Events = append(answer.Events, told)
		}
	}
	return taken
}

// tellChanges adds what happened at the stores since the positions, up to so many changes, in so many
// bytes of the message.
func (x *Index) tellChanges(answer *told, asked []Position, most, room int) {
	for _, position := range asked {
		store := x.store(position.Addr)
		if store == nil || most == 0 || room < storeBytes || position.unknown() {
			continue
		}
		events, ok := store.Since(position, min(most, (room-storeBytes)/changeBytes+1))
		if !ok {
			continue
		}
		most -= len(events.Changes)
		room -= storeBytes + len(events.Changes)*changeBytes
		answer.Events = append(answer.Events, x.newTold(store, events.Epoch, events.Next, packChanges(events.Changes)))
	}
}

// newTold returns changes of a store up to a number, as they are told.
func (x *Index) newTold(store *Holder, epoch, next int64, changes packed) toldStore {
	age, savesIn := store.ages(x.Clock.Now())
	return toldStore{
		Position: Position{Addr: store.Addr, Epoch: epoch, Next: next}, Changes: changes,
		AgeMs: age.Milliseconds() + 1, SavesInMs: savesIn.Milliseconds(),
	}
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

// ask asks one node for all stores' events, at once again while it has more to tell of stores of
// which this node knows nothing.
func (p *Peers) ask(ctx context.Context, reader netip.AddrPort) error {
	for range mostAnswers {
		more, err := p.askOnce(ctx, reader)
		if err != nil || !more {
			return err
		}
	}
	return nil
}

func (p *Peers) askOnce(ctx context.Context, reader netip.AddrPort) (more bool, err error) {
	stores := p.Index.Stores()
	asked := make([]Position, len(stores))
	for i, h := range stores {
		asked[i] = h.Position()
	}
	if len(asked) == 0 {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var answer told
	asking := p.Index.Clock.Now()
	if err := p.Conn.Call(ctx, reader, eventsMethod, asked, &answer); err != nil {
		return false, err
	}
	until := p.Index.Clock.Now().Add(relayedFor)
	for i := range answer.Events {
		t := &answer.Events[i]
		store := p.Index.store(t.Addr)
		if store == nil {
			continue
		}
		events, err := t.events()
		if err != nil {
			return false, eris.Wrapf(err, "what a node tells of store %s", t.Addr)
		}
		// The clock is as old as the answer, so that fetches end early rather than late.
		events.ClockMS = answer.ClockMS
		events.ProvenAt = asking.Add(-time.Duration(t.AgeMs) * time.Millisecond)
		p.Index.Take(store, events)
		store.relayed.Store(&until)
	}
	return answer.More, nil
}

// events returns what a node tells of a store.
func (t *toldStore) events() (*Events, error) {
	if t.Page != nil && (t.Page.Number < 0 || t.Page.Number >= t.Page.Of) {
		return nil, eris.Errorf("page %d of %d", t.Page.Number, t.Page.Of)
	}
	if t.AgeMs < 0 || t.SavesInMs < 0 || max(t.AgeMs, t.SavesInMs) > mostAgeMs {
		return nil, eris.Errorf("ages of %d and %d ms", t.AgeMs, t.SavesInMs)
	}
	changes, err := t.Changes.unpack()
	return &Events{Epoch: t.Epoch, Next: t.Next, Whole: t.Page, Changes: changes, SavesIn: time.Duration(t.SavesInMs) * time.Millisecond}, err
}

// Told reports whether other nodes told of all stores lately, so that none is to be asked.
func (x *Index) Told(now time.Time) bool {
	for _, h := range x.Stores() {
		if h.relayedFor(now) <= 0 {
			return false
		}
	}
	return true
}

package kvindex

import (
	"cmp"
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
	// eventsMethod is the name of the call, which is idempotent. Builds with an incompatible
	// response must use another name: the call then fails, and the stores are requested directly.
	eventsMethod = "node.kept"
	// relayRequestInterval is the time between two requests to another node.
	relayRequestInterval = 300 * time.Millisecond
	// defaultRelayTimeout is the timeout of a request to a node of the same failure domain.
	defaultRelayTimeout = 150 * time.Millisecond
	// relayRetryDelay is the time until another node is tried after a failed request. Meanwhile the
	// stores are requested directly.
	relayRetryDelay = time.Second
	// maxChanges bounds the changes in a response, each of which usually takes at most changeBytes
	// in a datagram; ids and salts have no maximum length. minChanges is the bound if the
	// connection has no spare bandwidth: responses to other calls have priority, because events may
	// arrive late.
	maxChanges  = 300
	minChanges  = 20
	changeBytes = 36
	// maxResponseBytes bounds a response, leaving room for the message envelope.
	// storeOverheadBytes is what each store takes in it in addition to its changes or pages.
	maxResponseBytes   = datagram.MaxBytes - 1<<10
	storeOverheadBytes = 100
	// maxAgeMs bounds the ages in relayed updates, in ms. Older updates are of no use.
	maxAgeMs = 3600_000
	// maxResponses bounds the responses that are requested in a row: the snapshots
	// of 41 stores with 1,300 parts each take about 120.
	maxResponses = 500
)

// Peers lets a few nodes of a large system request the stores' events and relay them to the
// others.
//
// A relayed update is equivalent to one from the store: either changes of one epoch in the order
// of their numbers, without a gap, or a full snapshot for a node that starts. A node that can
// provide neither omits the store from its response, and the store is requested directly.
type Peers struct {
	Index *Index
	Conn  *datagram.Conn
	// Readers returns the nodes that request the stores' events for others. If it is empty, this
	// node requests them itself.
	Readers func() []netip.AddrPort
	// RequestTimeout is the timeout of a request to another node. 0 means defaultRelayTimeout.
	RequestTimeout time.Duration
	// Preference determines which reader is used first. Nodes with different values spread over them.
	Preference uint64
	failures   uint64 // failed requests, each of which moves on to the next reader
}

// relayResponse is the response to a request for relayed events.
type relayResponse struct {
	Updates []storeUpdate `json:"events"`
	ClockMS int64         `json:"clock_ms"`
	// More is true if the response had no room for all the pages that the requesting node lacks.
	More bool `json:"more,omitempty"`
}

// storeUpdate is the update of one store.
type storeUpdate struct {
	Position
	Changes packedChanges `json:"changes,omitempty"`
	// AgeMs is the time since the store's epoch was last confirmed, and SavesInMs the remaining
	// time in which nothing may be sent to the store.
	AgeMs     int64 `json:"age_ms"`
	SavesInMs int64 `json:"saves_in_ms,omitempty"`
	// Page is set if Changes is a page of a snapshot of what the store kept before event Next.
	Page *Page `json:"page,omitempty"`
}

// Serve registers the handler for requests of other nodes. It must be called before the connection
// runs.
func (p *Peers) Serve() {
	p.Conn.Handle(eventsMethod, func(params json.RawMessage) (any, error) {
		var positions []Position
		if err := json.Unmarshal(params, &positions); err != nil {
			return nil, eris.Wrap(err, "decode request for relayed events")
		}
		return p.Index.relayEvents(positions, p.Conn.AvailableResponseBytes()), nil
	})
}

// relayEvents returns the updates that this node has beyond the given positions: snapshots of the
// stores for which the requester has no state, as far as there is room, and the changes at the
// other stores. A response covers as many of those as fit, because the requester requests a store's
// events directly if no response includes it. It omits stores whose changes this node no longer
// has. The response takes about spare bytes, but always has room for minChanges changes.
func (x *Index) relayEvents(positions []Position, spare int) relayResponse {
	response := relayResponse{ClockMS: x.ClockMS()}
	room := min(spare, maxResponseBytes)
	known := 0
	for i := range positions {
		if !positions[i].lacksState() {
			known++
		}
	}
	limit := min(max(spare/changeBytes, minChanges), maxChanges)
	usedBytes := x.addPages(&response, positions, max(room-known*storeOverheadBytes, room/2))
	if usedBytes > 0 {
		limit = minChanges
	}
	x.addChanges(&response, positions, limit, maxResponseBytes-usedBytes)
	return response
}

// addPages adds snapshot pages of the stores for which the requester has no state, in up to room
// bytes of the message. It returns the number of bytes used.
func (x *Index) addPages(response *relayResponse, positions []Position, room int) (usedBytes int) {
	for i := range positions {
		store := x.store(positions[i].Addr)
		if store == nil || !positions[i].lacksState() {
			continue
		}
		s, ok := store.snapshot()
		if !ok {
			continue // only the store itself can provide it
		}
		for number := s.nextPage(positions[i].Progress); number < len(s.pages); number++ {
			needs := base64.StdEncoding.EncodedLen(len(s.pages[number])) + storeOverheadBytes
			if usedBytes+needs > room {
				response.More = usedBytes > 0
				return usedBytes
			}
			usedBytes += needs
			update := x.newStoreUpdate(store, s.epoch, s.next, s.pages[number])
			update.Page = &Page{Number: number, Of: len(s.pages)}
			response.Updates = append(response.Updates, update)
		}
	}
	return usedBytes
}

// addChanges adds the changes at the stores since the positions, up to limit changes in total, in
// up to room bytes of the message.
func (x *Index) addChanges(response *relayResponse, positions []Position, limit, room int) {
	for _, position := range positions {
		store := x.store(position.Addr)
		if store == nil || limit == 0 || room < storeOverheadBytes || position.lacksState() {
			continue
		}
		events, ok := store.Since(position, min(limit, (room-storeOverheadBytes)/changeBytes+1))
		if !ok {
			continue
		}
		limit -= len(events.Changes)
		room -= storeOverheadBytes + len(events.Changes)*changeBytes
		response.Updates = append(response.Updates, x.newStoreUpdate(store, events.Epoch, events.Next, packChanges(events.Changes)))
	}
}

// newStoreUpdate returns the update of a store for changes that end before event next.
func (x *Index) newStoreUpdate(store *Holder, epoch, next int64, changes packedChanges) storeUpdate {
	age, savesIn := store.sinceConfirmed(x.Clock.Now())
	return storeUpdate{
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

// Run requests the stores' events from another node until ctx is done.
func (p *Peers) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := relayRequestInterval
		if readers := p.Readers(); len(readers) > 0 {
			if err := p.request(ctx, readers[(p.Preference+p.failures)%uint64(len(readers))]); err != nil && ctx.Err() == nil {
				p.Index.Log.Info().Str("event", "events_unrelayed").AnErr("cause", err).Send()
				p.failures++
				pause = relayRetryDelay
			}
		}
		retry.Sleep(ctx, pause)
	}
	return nil
}

// request requests the events of all stores from one node, repeatedly as long as that node has more
// snapshot pages.
func (p *Peers) request(ctx context.Context, reader netip.AddrPort) error {
	for range maxResponses {
		more, err := p.requestOnce(ctx, reader)
		if err != nil || !more {
			return err
		}
	}
	return nil
}

func (p *Peers) requestOnce(ctx context.Context, reader netip.AddrPort) (more bool, err error) {
	stores := p.Index.Stores()
	positions := make([]Position, len(stores))
	for i, h := range stores {
		positions[i] = h.Position()
	}
	if len(positions) == 0 {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(p.RequestTimeout, defaultRelayTimeout))
	defer cancel()
	var response relayResponse
	sentAt := p.Index.Clock.Now()
	if err := p.Conn.Call(ctx, reader, eventsMethod, positions, &response); err != nil {
		return false, err
	}
	until := p.Index.Clock.Now().Add(relayLifetime)
	for i := range response.Updates {
		update := &response.Updates[i]
		store := p.Index.store(update.Addr)
		if store == nil {
			continue
		}
		events, err := update.events()
		if err != nil {
			return false, eris.Wrapf(err, "apply relayed update of store %s", update.Addr)
		}
		// The clock reading is older than the response. With a clock estimate that is behind,
		// fetches end early rather than late.
		events.ClockMS = response.ClockMS
		events.ConfirmedAt = sentAt.Add(-time.Duration(update.AgeMs) * time.Millisecond)
		p.Index.Apply(store, events)
		store.relayedUntil.Store(&until)
	}
	return response.More, nil
}

// events decodes the update. It fails if the page number, an age or the changes are out of range.
func (u *storeUpdate) events() (*Events, error) {
	if u.Page != nil && (u.Page.Number < 0 || u.Page.Number >= u.Page.Of) {
		return nil, eris.Errorf("decode relayed update: snapshot page %d of %d is out of range", u.Page.Number, u.Page.Of)
	}
	if u.AgeMs < 0 || u.SavesInMs < 0 || max(u.AgeMs, u.SavesInMs) > maxAgeMs {
		return nil, eris.Errorf("decode relayed update: ages of %d and %d ms are out of range", u.AgeMs, u.SavesInMs)
	}
	changes, err := u.Changes.unpack()
	return &Events{Epoch: u.Epoch, Next: u.Next, SnapshotPage: u.Page, Changes: changes, SavesIn: time.Duration(u.SavesInMs) * time.Millisecond}, err
}

// AllRelayed reports whether relayed updates of all stores are recent enough that none has to be
// requested directly.
func (x *Index) AllRelayed(now time.Time) bool {
	for _, h := range x.Stores() {
		if h.relayRemaining(now) <= 0 {
			return false
		}
	}
	return true
}

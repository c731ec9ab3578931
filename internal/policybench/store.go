package policybench

import (
	"strconv"
	"time"

	"github.com/cherryward/cherryward/internal/kvcache"
	"github.com/cherryward/cherryward/internal/kvcache/link"
	"github.com/cherryward/cherryward/internal/kvcache/policy"
	"github.com/cherryward/cherryward/internal/placement"
)

const (
	evictShare    = 0.02           // fraction of a store that is freed when it is full
	floorShare    = 0.5            // fraction of an even split that is reserved for an account
	returnHorizon = 48 * time.Hour // period for which the probability of a return is estimated
)

// stored is a block in a store.
type stored struct {
	parent  string
	account int
	conv    *conversation
}

// store simulates a store host behind its link, with the daemon's link budget.
type store struct {
	s      *system
	name   string
	link   *storeLink
	budget *link.Budget
	blocks map[string]stored
	used   map[*conversation]time.Duration // last use of a conversation
	dead   bool
}

// exportOffer is a candidate for export.
type exportOffer struct {
	owner *owner
	turn  *turn
	ended time.Duration // when the turn ended
}

func newStore(s *system, i int) *store {
	st := &store{s: s, name: strconv.Itoa(i), blocks: make(map[string]stored), used: make(map[*conversation]time.Duration)}
	st.link = &storeLink{clock: &s.clock, rate: s.profile.LinkBytes, moved: s.moved, ended: s.audit.countTransfer}
	st.budget = link.NewBudget(int64(s.profile.LinkBytes))
	return st
}

// heldPrefix returns the number of leading blocks that are in the store.
func (st *store) heldPrefix(blocks []kvcache.Block) int {
	return prefixLength(blocks, func(id string) bool {
		_, ok := st.blocks[id]
		return ok
	})
}

func (st *store) estimate(t *turn) placement.StoreEstimate {
	if st.dead {
		return placement.StoreEstimate{Store: st.name, Status: placement.NotInRotation}
	}
	n := st.heldPrefix(t.promptBlocks())
	if n > 0 {
		st.used[t.conv] = st.s.at
	}
	return placement.StoreEstimate{
		Store: st.name, HeldTokens: n * blockTokens, Layout: layout,
		Rate:       st.budget.BytesPerSecond(st.s.now(), link.Import),
		QueueDelay: st.budget.QueueDelay(st.s.now(), link.Import),
	}
}

// offer offers the blocks of a finished turn for export to the store that holds the longest prefix of
// them, or else to one chosen by the conversation's ID.
func (s *system) offer(o *owner, t *turn) {
	best := s.stores[t.conv.id%len(s.stores)]
	for _, st := range s.stores {
		if best.dead || !st.dead && st.heldPrefix(t.contextBlocks()) > best.heldPrefix(t.contextBlocks()) {
			best = st
		}
	}
	if !best.dead {
		s.after(placement.ExportAfter, func() { best.export(&exportOffer{o, t, s.at - placement.ExportAfter}) })
	}
}

// export moves the blocks that the store lacks if the export policy values them above the link's
// price, and retries later otherwise.
func (st *store) export(f *exportOffer) {
	blocks := f.turn.contextBlocks()
	blocks = blocks[:f.owner.engine.heldPrefix(blocks)]
	from := st.heldPrefix(blocks)
	if st.dead || f.turn.conv.latest != f.turn || from >= len(blocks) || st.s.policy.oracle && !f.turn.returns {
		return
	}
	bytes := int64(len(blocks)-from) * blockBytes
	now := st.s.now()
	if !st.s.policy.export.Worth(st.value(f, bytes), st.price(now)) {
		if st.s.at < f.ended+placement.ExportUntil {
			st.s.after(placement.ExportRetry, func() { st.export(f) })
		}
		return
	}
	res, err := st.budget.Reserve(now, link.Export, bytes, time.Time{})
	if err != nil {
		st.s.after(placement.ExportRetry, func() { st.export(f) })
		return
	}
	st.move(res, len(blocks)-from, func(i int) { st.put(f.turn.conv, blocks, from+i) }, func(bool) {})
}

// value returns the value of an export under the deployment's objective.
func (st *store) value(f *exportOffer, bytes int64) policy.Offer {
	kept := placement.ExportPart{
		Tokens: int(bytes/blockBytes) * blockTokens, Bytes: bytes,
		PrefillRate: f.owner.last.PrefillRate,
		LinkRate:    st.budget.BytesPerSecond(st.s.now(), link.Import),
	}
	name := accountName(f.turn.conv.account)
	return policy.Offer{
		ReturnChance: st.s.returns.Chance(name, st.s.now(), st.s.at-f.ended, placement.ExportUntil, returnHorizon),
		SavedSeconds: st.s.profile.Objective.ExportSaving(kept),
		Bytes:        bytes,
		Uses:         f.turn.number + 1,
	}
}

// price returns the current cost of a byte on the link under the deployment's objective.
func (st *store) price(now time.Time) float64 {
	return st.s.profile.Objective.LinkPrice(st.budget.Price(now), st.budget.BytesPerSecond(now, link.Import))
}

// put stores a block, after evicting others if the store is full. It ignores a block whose
// predecessor is not stored.
func (st *store) put(c *conversation, blocks []kvcache.Block, i int) {
	if st.dead || st.heldPrefix(blocks) < i {
		return
	}
	if len(st.blocks) >= st.s.profile.StoreBlocks {
		st.evict()
	}
	st.used[c] = st.s.at
	b := stored{account: c.account, conv: c}
	if i > 0 {
		b.parent = blocks[i-1].ID
	}
	st.blocks[blocks[i].ID] = b
}

// evict frees a fraction of the store by the daemon's eviction plan.
func (st *store) evict() {
	all := make([]policy.Stored, 0, len(st.blocks))
	values := make(map[*conversation]float64)
	for key, b := range st.blocks {
		v, ok := values[b.conv]
		if !ok {
			idle := st.s.at - st.used[b.conv]
			v = st.s.returns.Chance(accountName(b.account), st.s.now(), idle, idle, idle+returnHorizon)
			values[b.conv] = v
		}
		all = append(all, policy.Stored{Key: key, Parent: b.parent, Account: accountName(b.account), Bytes: blockBytes, Value: v})
	}
	need := int64(evictShare*float64(st.s.profile.StoreBlocks)) * blockBytes
	floor := int64(floorShare*float64(st.s.profile.StoreBlocks)/accountCount) * blockBytes
	for _, key := range policy.PlanEviction(all, need, floor) {
		delete(st.blocks, key)
	}
}

func (st *store) crash() {
	st.dead = true
	st.blocks = nil
	st.link.abortAll()
}

package kept

import (
	"context"
	"time"

	"github.com/cherryward/cherryward/coord/retry"
)

const (
	// freePause is the time between two looks for parts to free.
	freePause = time.Second
	// freeBatch is the largest number of parts freed by one call in a small system, and
	// slowFreeBatch in a large one, where all nodes hear of each part that is freed: with
	// 22 stores that is 45 KB of events a second for each node.
	freeBatch     = 500
	slowFreeBatch = 40
)

// Outdated tells which salts no request names any more.
type Outdated interface {
	// Outdated reports whether parts under the salt may be freed: whether every
	// node has stopped naming them, and each fetch that was begun has ended.
	Outdated(salt string) bool
}

// Free frees the stores' outdated parts until ctx is done. Nodes may do so at the
// same time: what one frees can't be in use by another, by the rule of Outdated.
// active reports whether this node should, slowly whether the system is large.
func (x *Index) Free(ctx context.Context, rule Outdated, active, slowly func() bool) error {
	for ctx.Err() == nil {
		retry.Sleep(ctx, freePause)
		if !active() {
			continue
		}
		most := freeBatch
		if slowly() {
			most = slowFreeBatch
		}
		for _, store := range x.Stores() {
			x.freeAt(ctx, store, rule, most)
		}
	}
	return nil
}

func (x *Index) freeAt(ctx context.Context, store *Holder, rule Outdated, most int) {
	parts, epoch := store.under(rule.Outdated)
	if len(parts) == 0 || !store.Reachable() {
		return
	}
	parts = parts[:min(len(parts), most)] // the largest, as each freed part is told once, whatever its size
	err := x.Source.Free(ctx, store.Addr, parts, epoch)
	x.Log.Info().Str("event", "parts_freed").Str("store", store.Addr).Int("parts", len(parts)).
		Str("salt", parts[0].Salt).AnErr("error", err).Send()
	if err != nil {
		return
	}
	for _, part := range parts {
		store.forget(part)
	}
}

package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/coord/retry"
)

const (
	// announceInterval is the time between two checks whether this node's entry must be written.
	announceInterval = 500 * time.Millisecond
	// readBackDelay is the time after a write until the entry is checked again. It spans several
	// reads of the topic, so that a node does not write twice when many nodes start together: each
	// write ends every node's waiting read.
	readBackDelay = 2 * time.Second
)

// ownEntryOutdated reports whether the topic was read and does not hold this node's entry as this
// node would write it, for example because it is marked as gone, or because the store has lost it.
func (r *roster) ownEntryOutdated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded && (r.entries[r.node] != r.own || r.lost.has(r.node))
}

// announce writes this node's entry whenever it is missing or outdated, until ctx is done. Writing
// the entry twice is harmless.
func (r *roster) announce(ctx context.Context) error {
	for ctx.Err() == nil {
		retry.Sleep(ctx, r.announceOnce(ctx))
	}
	return nil
}

// announceOnce writes the entry if it is missing or outdated, and returns the time until the next
// check.
func (r *roster) announceOnce(ctx context.Context) (pause time.Duration) {
	if !r.ownEntryOutdated() {
		return announceInterval
	}
	err := r.writeOwnEntry(ctx)
	r.log.Info().Str("event", "announced").Str("addr", r.own.Addr).Str("domain", r.own.Domain).AnErr("error", err).Send()
	if err != nil {
		return announceInterval
	}
	return readBackDelay
}

func (r *roster) writeOwnEntry(ctx context.Context) error {
	value, err := json.Marshal(r.own)
	if err != nil {
		return eris.Wrap(err, "encode this node's entry")
	}
	return r.topic.Put(ctx, r.node, value)
}

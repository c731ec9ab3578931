package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/coord/retry"
)

const (
	// announcePause is the time between two looks whether the own entry is there.
	announcePause = 500 * time.Millisecond
	// readBack is the time after which an entry that was written must be there, with some
	// reads in between: written twice at a common start, it ended all nodes' waiting reads twice.
	readBack = 2 * time.Second
)

// missing reports whether the topic was read and lacks this node, or has it as gone.
func (r *roster) missing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.read && r.entries[r.node] != r.own
}

// announce writes this node's entry whenever it is missing. Writing it twice does
// no harm.
func (r *roster) announce(ctx context.Context) error {
	for ctx.Err() == nil {
		retry.Sleep(ctx, r.announceOnce(ctx))
	}
	return nil
}

// announceOnce writes the entry if it is missing, and returns the time until the next look.
func (r *roster) announceOnce(ctx context.Context) (pause time.Duration) {
	if !r.missing() {
		return announcePause
	}
	err := r.put(ctx)
	r.log.Info().Str("event", "announced").Str("addr", r.own.Addr).Str("domain", r.own.Domain).AnErr("error", err).Send()
	if err != nil {
		return announcePause
	}
	return readBack
}

func (r *roster) put(ctx context.Context) error {
	value, err := json.Marshal(r.own)
	if err != nil {
		return eris.Wrap(err, "encode the node's entry")
	}
	return r.topic.Put(ctx, r.node, value)
}

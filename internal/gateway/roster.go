package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/follow"
)

const (
	// nodesTopic holds the peers' address of each node under its name.
	nodesTopic = "keyed.cherryward-nodes"
	// nodesWait is how long a read waits for a node to come.
	nodesWait = 10 * time.Second
	// announcePause is the time between two looks whether the own entry is there.
	announcePause = 500 * time.Millisecond
)

// putter writes the newest record of a key.
type putter interface {
	Put(ctx context.Context, key string, value []byte) error
}

// roster knows the addresses of all nodes, and makes this one known.
type roster struct {
	node, addr string
	topic      putter
	set        func(addrs []string)
	log        zerolog.Logger

	mu    sync.Mutex
	addrs map[string]string // by node
	read  bool
}

var _ follow.Sink = (*roster)(nil)

func newRoster(node, addr string, topic putter, set func([]string), log zerolog.Logger) *roster {
	return &roster{node: node, addr: addr, topic: topic, set: set, log: log, addrs: make(map[string]string)}
}

// Apply implements follow.Sink.
func (r *roster) Apply(b follow.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.Snapshot {
		clear(r.addrs)
	}
	for _, record := range b.Records {
		if record.Value == nil {
			delete(r.addrs, record.Key)
			continue
		}
		r.addrs[record.Key] = string(record.Value)
	}
	r.read = true
	r.set(slices.Collect(maps.Values(r.addrs)))
}

// missing reports whether the topic was read and lacks this node.
func (r *roster) missing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.read && r.addrs[r.node] != r.addr
}

// announce writes this node's entry whenever it is missing. Writing it twice does
// no harm.
func (r *roster) announce(ctx context.Context) error {
	for ctx.Err() == nil {
		if r.missing() {
			err := r.topic.Put(ctx, r.node, []byte(r.addr))
			r.log.Info().Str("event", "announced").Str("addr", r.addr).AnErr("error", err).Send()
		}
		retry.Sleep(ctx, announcePause)
	}
	return nil
}

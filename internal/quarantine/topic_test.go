package quarantine

import (
	"context"
	"maps"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/follow"
)

// lateBy is how late removals are executed while lateRemovals is set.
const lateBy = 5 * time.Second

func (nw *network) Put(_ context.Context, key string, value []byte) error {
	return nw.request(value, func() error { return nw.write(key, value, nil) })
}

func (nw *network) PutIf(_ context.Context, key string, value []byte, end int64) error {
	return nw.request(value, func() error { return nw.write(key, value, &end) })
}

// request makes a write, unless it fails or is executed late.
func (nw *network) request(value []byte, write func() error) error {
	nw.mu.Lock()
	down, late := nw.down, nw.lateRemovals && value == nil
	nw.mu.Unlock()
	if late {
		time.AfterFunc(lateBy, func() { _ = write() }) // nobody gets the result
	}
	if down || late {
		return context.DeadlineExceeded
	}
	return write()
}

// write writes a record, if the topic ends at the given offset or none is given.
func (nw *network) write(key string, value []byte, condition *int64) error {
	nw.mu.Lock()
	if condition != nil && *condition != nw.end {
		nw.mu.Unlock()
		return follow.ErrChanged
	}
	nw.writes++
	nw.end++
	nw.records[key] = value
	end, nodes := nw.end, maps.Clone(nw.nodes)
	restore := nw.restoreAfterWrite
	nw.restoreAfterWrite = false
	nw.mu.Unlock()
	for _, n := range nodes {
		nw.afterReadDelay(n.name+key, func() { n.receive(key, value, end) })
	}
	if restore {
		nw.restore(nil)
	}
	return nil
}

// receive applies a record that was read from the topic.
func (n *node) receive(key string, value []byte, end int64) {
	n.net.mu.Lock()
	unreading := n.unreading
	n.net.mu.Unlock()
	if unreading {
		return
	}
	must.NoError(n.net.t, n.Apply(&follow.Record{Key: key, Value: value}))
	n.net.mu.Lock()
	n.read = max(n.read, end)
	n.net.mu.Unlock()
}

// topicEnd returns the offset up to which the node has read the topic.
func (n *node) topicEnd() int64 {
	n.net.mu.Lock()
	defer n.net.mu.Unlock()
	return n.read
}

// set changes a field under the lock.
func (nw *network) set(field *bool, value bool) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	*field = value
}

// restore replaces the topic by an older copy, which all nodes read.
func (nw *network) restore(records map[string][]byte) {
	nw.mu.Lock()
	nw.records = make(map[string][]byte)
	maps.Copy(nw.records, records)
	nw.end++
	end, nodes := nw.end, maps.Clone(nw.nodes)
	nw.mu.Unlock()
	for _, n := range nodes {
		n.TopicRestored()
		for key, value := range records {
			n.receive(key, value, end)
		}
		n.net.mu.Lock()
		n.read = end
		n.net.mu.Unlock()
	}
}

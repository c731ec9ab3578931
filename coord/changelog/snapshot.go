package changelog

import (
	"cmp"
	"crypto/rand"
	"encoding/json"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Name identifies an object.
type Name struct {
	Kind string
	Key  string
}

// Object is one object of the state.
type Object[V any] struct {
	Name
	// Revision is the offset of the change that wrote this value.
	Revision int64
	// Created is the offset of the change that created the object. It changes if
	// the object is deleted and created again.
	Created int64
	Value   V
	raw     json.RawMessage
}

// Raw returns the JSON of the value without insignificant whitespace. The caller
// must not modify it.
func (o Object[V]) Raw() json.RawMessage { return o.raw }

// shardCount is the number of shards of a snapshot. A higher number makes the copy
// of the shard list per applied segment larger, and the copy of one shard per change
// smaller.
const shardCount = 512

type shard[V any] map[Name]Object[V]

// Snapshot is the immutable state at one offset.
type Snapshot[V any] struct {
	applied int64
	count   int
	shards  *[shardCount]shard[V]
}

func newSnapshot[V any]() *Snapshot[V] {
	return &Snapshot[V]{shards: new([shardCount]shard[V])}
}

// Applied returns the offset up to which the log has been applied, 0 for none.
func (s *Snapshot[V]) Applied() int64 { return s.applied }

// Len returns the number of objects.
func (s *Snapshot[V]) Len() int { return s.count }

// Get returns the object with the given kind and key, and whether it exists.
func (s *Snapshot[V]) Get(kind, key string) (Object[V], bool) {
	n := Name{kind, key}
	o, ok := s.shards[shardOf(n)][n]
	return o, ok
}

// All iterates over all objects in no particular order.
func (s *Snapshot[V]) All() iter.Seq[Object[V]] {
	return func(yield func(Object[V]) bool) {
		for _, sh := range s.shards {
			for _, o := range sh {
				if !yield(o) {
					return
				}
			}
		}
	}
}

// List returns the objects of one kind, sorted by key.
func (s *Snapshot[V]) List(kind string) []Object[V] {
	var list []Object[V]
	for o := range s.All() {
		if o.Kind == kind {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, compareNames)
	return list
}

// Put returns a change that sets the object, based on its revision in this
// snapshot.
func (s *Snapshot[V]) Put(kind, key string, value json.RawMessage) Change {
	c := s.newChange(OpPut, kind, key)
	c.Value = value
	return c
}

// Delete returns a change that removes the object, based on its revision in this
// snapshot.
func (s *Snapshot[V]) Delete(kind, key string) Change {
	return s.newChange(OpDelete, kind, key)
}

func (s *Snapshot[V]) newChange(op Op, kind, key string) Change {
	o, _ := s.Get(kind, key)
	return Change{
		ID:      rand.Text(),
		Kind:    kind,
		Key:     key,
		BasedOn: o.Revision,
		Since:   s.applied,
		Op:      op,
		Time:    time.Now().UTC().Truncate(time.Second),
	}
}

func compareNames[V any](a, b Object[V]) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Key, b.Key))
}

func shardOf(n Name) int {
	return int(xxhash.Sum64String(n.Kind+"\x00"+n.Key) % shardCount)
}

// draft is a mutable snapshot. It copies a shard before the first write after a
// freeze, so that frozen snapshots do not change.
type draft[V any] struct {
	Snapshot[V]
	copied [shardCount]bool // shards copied since the last freeze
}

func newDraft[V any](s *Snapshot[V]) *draft[V] {
	d := &draft[V]{Snapshot: *s}
	d.shareShards()
	return d
}

// shareShards copies the shard list and marks all shards as shared with a frozen
// snapshot.
func (d *draft[V]) shareShards() {
	shards := *d.shards
	d.shards = &shards
	clear(d.copied[:])
}

// freeze returns the current state as an immutable snapshot.
func (d *draft[V]) freeze() *Snapshot[V] {
	s := d.Snapshot
	d.shareShards()
	return &s
}

// writableShard returns the shard of an object, copied if it is shared with a
// frozen snapshot.
func (d *draft[V]) writableShard(n Name) shard[V] {
	i := shardOf(n)
	if !d.copied[i] {
		d.copied[i] = true
		d.shards[i] = maps.Clone(d.shards[i])
	}
	if d.shards[i] == nil {
		d.shards[i] = make(shard[V])
	}
	return d.shards[i]
}

func (d *draft[V]) put(o Object[V]) {
	sh := d.writableShard(o.Name)
	before := len(sh)
	sh[o.Name] = o
	d.count += len(sh) - before
}

func (d *draft[V]) remove(n Name) {
	sh := d.writableShard(n)
	before := len(sh)
	delete(sh, n)
	d.count += len(sh) - before
}

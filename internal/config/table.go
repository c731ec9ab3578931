package config

import (
	"iter"
	"maps"

	"github.com/cespare/xxhash/v2"
)

// shardCount results in about 50 entries per shard at 12,000 endpoints. A change then
// copies two kilobytes of shard pointers and one small map.
const shardCount = 256

// table is an immutable hash map. The methods with and without return a modified copy
// that shares all shards but one with the original.
type table[V any] struct {
	shards *[shardCount]map[string]V
	size   int
}

func newTable[V any]() table[V] { return table[V]{shards: new([shardCount]map[string]V)} }

func shardOf(key string) int { return int(xxhash.Sum64String(key) % shardCount) }

func (t table[V]) get(key string) (V, bool) {
	v, ok := t.shards[shardOf(key)][key]
	return v, ok
}

func (t table[V]) with(key string, v V) table[V] {
	if _, ok := t.get(key); !ok {
		t.size++
	}
	shard := t.copyShard(key)
	shard[key] = v
	return t
}

func (t table[V]) without(key string) table[V] {
	if _, ok := t.get(key); !ok {
		return t
	}
	t.size--
	delete(t.copyShard(key), key)
	return t
}

// copyShard replaces t's shard array and the shard of key with copies, and returns the
// copied shard, which may be modified.
func (t *table[V]) copyShard(key string) map[string]V {
	shards := *t.shards
	t.shards = &shards
	i := shardOf(key)
	shard := maps.Clone(shards[i])
	if shard == nil {
		shard = make(map[string]V)
	}
	shards[i] = shard
	return shard
}

func (t table[V]) all() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		for _, shard := range t.shards {
			for key, v := range shard {
				if !yield(key, v) {
					return
				}
			}
		}
	}
}

package kvcache

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

var (
	errLost = errors.New("response lost")
	errDown = errors.New("store host is down")
)

type fakeBlock struct {
	data             []byte
	complete         bool
	created          time.Time
	reportedChecksum string // reported checksum, if it differs from that of data
}

// sweepAge is the age in the store host's clock up to which a block is never swept.
var sweepAge = testTiming.MaxExport + testTiming.Grace

// fakeStore is a store host in memory. It checks the block safety invariants on
// each call and records the first violation. Before each call it runs step, which
// may block the caller or make the call fail before or after it takes effect.
type fakeStore struct {
	now       time.Time
	blocks    map[string]fakeBlock
	manifests map[string]Manifest
	restarts  int
	capacity  int // blocks
	down      bool
	step      func(call string) (before, after error)

	used        map[string]bool // all names written, including deleted ones
	published   map[string]bool // names that a manifest has referred to, including deleted ones
	unpublished map[string]time.Time
	// restoredDuringCall is set if an older state was restored during an owner's call,
	// which may then delete a block that has a manifest. Reads must still return the
	// correct contents or miss.
	restoredDuringCall bool
	violation          error
	accepted           int // blocks that engines accepted as correct
}

var _ Store = (*fakeStore)(nil)

func newFakeStore() *fakeStore {
	return &fakeStore{
		now: time.Unix(1_000_000, 0), capacity: 1000,
		blocks: map[string]fakeBlock{}, manifests: map[string]Manifest{},
		used: map[string]bool{}, published: map[string]bool{}, unpublished: map[string]time.Time{},
	}
}

func (s *fakeStore) clock() time.Time { return s.now }

func (s *fakeStore) recordViolation(format string, args ...any) {
	if s.violation == nil {
		s.violation = fmt.Errorf(format, args...)
	}
}

// call runs effect unless step makes the call fail before it. step may also replace
// a nil result by an error.
func (s *fakeStore) call(name string, effect func() error) error {
	var after error
	if s.step != nil {
		var before error
		if before, after = s.step(name); before != nil {
			return before
		}
	}
	if s.down {
		return errDown
	}
	return cmp.Or(effect(), after)
}

func (s *fakeStore) generation() string { return fmt.Sprint("g", s.restarts) }

// page returns up to limit keys that sort after the given one.
func page[V any](m map[string]V, after string, limit int) (keys []string, more bool) {
	for _, key := range slices.Sorted(maps.Keys(m)) {
		if key > after {
			keys = append(keys, key)
		}
	}
	return keys[:min(limit, len(keys))], len(keys) > limit
}

// fakePage is small so that listings need several calls.
const fakePage = 3

func (s *fakeStore) ListManifests(_ context.Context, after string, _ int) (out ManifestPage, err error) {
	err = s.call("list manifests", func() error {
		keys, more := page(s.manifests, after, fakePage)
		out = ManifestPage{Generation: s.generation(), More: more}
		for _, key := range keys {
			out.Manifests = append(out.Manifests, s.manifests[key])
		}
		return nil
	})
	return out, err
}

func (s *fakeStore) ListBlocks(_ context.Context, after string, _ int) (out BlockPage, err error) {
	err = s.call("list blocks", func() error {
		names, more := page(s.blocks, after, fakePage)
		out = BlockPage{Generation: s.generation(), More: more}
		for _, name := range names {
			out.Blocks = append(out.Blocks, s.info(name))
		}
		return nil
	})
	return out, err
}

func (s *fakeStore) info(name string) BlockInfo {
	b := s.blocks[name]
	return BlockInfo{
		Name: name, Bytes: int64(len(b.data)), Checksum: cmp.Or(b.reportedChecksum, checksumOf(b.data)),
		Complete: b.complete, Tier: TierDisk, Age: s.now.Sub(b.created),
	}
}

func (s *fakeStore) Manifest(_ context.Context, key string) (m Manifest, err error) {
	err = s.call("get manifest", func() error {
		var ok bool
		if m, ok = s.manifests[key]; !ok {
			return ErrNotFound
		}
		return nil
	})
	return m, err
}

func (s *fakeStore) PutManifest(_ context.Context, m Manifest) error {
	if b, ok := s.blocks[m.Name]; ok && s.now.Sub(b.created) > sweepAge {
		s.recordViolation("manifest of %s put when a sweep may delete its block", m.Name)
	}
	return s.call("put manifest", func() error {
		if _, ok := s.manifests[m.Key]; ok {
			return ErrExists
		}
		b, ok := s.blocks[m.Name]
		if !s.used[m.Name] || (ok && (!b.complete || checksumOf(b.data) != m.Checksum)) {
			s.recordViolation("manifest of %s put before its block was complete", m.Name)
		}
		s.manifests[m.Key] = m
		// A put that was sent in time but arrives this late looks like one of a crashed
		// writer: a sweep may delete its block, and reads then miss.
		s.published[m.Name] = ok && s.now.Sub(b.created) <= sweepAge
		return nil
	})
}

func (s *fakeStore) DeleteManifest(_ context.Context, key, name string) error {
	return s.call("delete manifest", func() error {
		if s.manifests[key].Name != name {
			return ErrNotFound
		}
		delete(s.manifests, key)
		s.unpublished[name] = s.now
		return nil
	})
}

func (s *fakeStore) BlockInfo(_ context.Context, name string) (info BlockInfo, err error) {
	err = s.call("block info", func() error {
		if _, ok := s.blocks[name]; !ok {
			return ErrNotFound
		}
		info = s.info(name)
		return nil
	})
	return info, err
}

func (s *fakeStore) DeleteBlock(_ context.Context, name string) error {
	return s.call("delete block", func() error {
		if _, ok := s.blocks[name]; !ok {
			return ErrNotFound
		}
		if !s.restoredDuringCall {
			s.checkDelete(name)
		}
		delete(s.blocks, name)
		return nil
	})
}

func (s *fakeStore) checkDelete(name string) {
	for _, m := range s.manifests {
		if m.Name == name && s.published[name] {
			s.recordViolation("block %s deleted before its manifest", name)
		}
	}
	if s.published[name] && s.now.Sub(s.unpublished[name]) < testTiming.MaxImport {
		s.recordViolation("block %s deleted %s after its manifest", name, s.now.Sub(s.unpublished[name]))
	}
}

func (s *fakeStore) Usage(context.Context) (u Usage, err error) {
	err = s.call("usage", func() error {
		u = Usage{Generation: s.generation(), Used: int64(len(s.blocks)), Capacity: int64(s.capacity)}
		return nil
	})
	return u, err
}

// write stores the given number of bytes of a block under a new name. It fails if
// the store is full.
func (s *fakeStore) write(name string, data []byte, bytes int) error {
	if s.used[name] {
		s.recordViolation("name %s used again", name)
	}
	if len(s.blocks) >= s.capacity {
		return errors.New("full")
	}
	s.used[name] = true
	s.blocks[name] = fakeBlock{data: slices.Clone(data[:bytes]), complete: bytes == len(data), created: s.now}
	return nil
}

// snapshot returns a function that restarts the store host with the contents it had
// when snapshot was called.
func (s *fakeStore) snapshot() (restore func()) {
	blocks, manifests := maps.Clone(s.blocks), maps.Clone(s.manifests)
	return func() {
		s.blocks, s.manifests = maps.Clone(blocks), maps.Clone(manifests)
		s.restarts++
	}
}

func checksumOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

package metastore

import (
	"maps"
	"slices"
)

// SetEra sets the value of the Store-Era header of all responses; empty for none.
func (s *Store) SetEra(era string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// Copy keeps a copy of all topics, to which Restore returns.
func (s *Store) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied = cloneTopics(s.topics)
}

// Restore returns to the topics of the copy: what was written since is gone, and its offsets are given
// out again. It sets the era and ends waiting reads.
func (s *Store) Restore(era string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics, s.era = cloneTopics(s.copied), era
	s.restores++
	close(s.change)
	s.change = make(chan struct{})
}

func cloneTopics(topics map[string]*topic) map[string]*topic {
	clones := make(map[string]*topic, len(topics))
	for name, t := range topics {
		clones[name] = &topic{first: t.first, records: slices.Clone(t.records), newest: maps.Clone(t.newest)}
	}
	return clones
}

// Compact deletes the records of a topic from the log. The newest record of each key stays in the
// listing.
func (s *Store) Compact(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first += int64(len(t.records))
	t.records = nil
}

package metastore

import (
	"encoding/base64"
	"strings"
)

// Newest returns the newest value of a key, or nil.
func (s *Store) Newest(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, err := base64.StdEncoding.DecodeString(s.topic(name).newest[key].value)
	if err != nil || len(value) == 0 {
		return nil
	}
	return value
}

// HasKey reports whether a keyed topic has a record whose key begins with the given text.
func (s *Store) HasKey(name, prefix string) bool { return s.CountKeys(name, prefix) > 0 }

// CountKeys returns the number of records of a keyed topic whose keys begin with the given text.
func (s *Store) CountKeys(name, prefix string) (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.topic(name).newest {
		if strings.HasPrefix(key, prefix) {
			count++
		}
	}
	return count
}

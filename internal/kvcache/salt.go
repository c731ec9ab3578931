package kvcache

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
)

// minClusterKey is the minimum length of a cluster key in bytes.
const minClusterKey = 16

const saltDomain = "cherryward/kvcache/salt/v1"

// ErrShortKey is returned for a cluster key shorter than minClusterKey.
var ErrShortKey = errors.New("kvcache: cluster key is too short")

// Salter derives the cache salts that engines hash into their block ids. All nodes
// of a cluster have the same key; without it an account's salt cannot be derived.
type Salter struct {
	key []byte
}

// NewSalter returns a Salter for the cluster key, or ErrShortKey.
func NewSalter(key []byte) (*Salter, error) {
	if len(key) < minClusterKey {
		return nil, ErrShortKey
	}
	return &Salter{key: append([]byte(nil), key...)}, nil
}

// CacheSalt returns the salt of a client account, which is the same on every node.
func (s *Salter) CacheSalt(account string) string {
	mac := hmac.New(sha256.New, s.key)
	mac.Write(encodeFields(saltDomain, account))
	return hex.EncodeToString(mac.Sum(nil))
}

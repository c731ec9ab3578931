package ticket

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// answerOverhead is the estimated memory in bytes of a cached answer in addition
// to its content.
const answerOverhead = 192

// answerKey identifies the cached answers of one account's tickets from one
// incarnation.
type answerKey struct {
	incarnation Incarnation
	account     string
}

// cachedAnswer is the answer of a finished call, kept for retries.
type cachedAnswer struct {
	fingerprint Fingerprint
	answer      Answer
	storedAt    time.Time // with monotonic clock reading
}

func (c cachedAnswer) size() int { return len(c.answer) + answerOverhead }

// accountAnswers holds the cached answers of one answerKey, oldest first.
type accountAnswers struct {
	answers *simplelru.LRU[uint64, cachedAnswer]
	bytes   int
}

// answerCache caches answers, with a maximum number of answers per answerKey and
// a maximum total size in bytes. When the total is exceeded, the oldest answers
// of the key with the most bytes are evicted, so that a large account cannot
// evict the answers of a small one.
type answerCache struct {
	maxPerKey int
	maxBytes  int
	ttl       time.Duration
	bytes     int
	byKey     map[answerKey]*accountAnswers
}

func newAnswerCache(maxPerKey, maxBytes int, ttl time.Duration) *answerCache {
	return &answerCache{
		maxPerKey: maxPerKey,
		maxBytes:  maxBytes,
		ttl:       ttl,
		byKey:     make(map[answerKey]*accountAnswers),
	}
}

func (c *answerCache) get(key answerKey, serial uint64) (cachedAnswer, bool) {
	entry := c.byKey[key]
	if entry == nil {
		return cachedAnswer{}, false
	}
	c.removeExpired(key, entry)
	return entry.answers.Peek(serial)
}

func (c *answerCache) put(key answerKey, serial uint64, cached cachedAnswer) {
	entry := c.byKey[key]
	if entry == nil {
		entry = c.newAccountAnswers(key)
	}
	c.removeExpired(key, entry)
	c.byKey[key] = entry
	entry.bytes += cached.size()
	c.bytes += cached.size()
	entry.answers.Add(serial, cached)
	for c.bytes > c.maxBytes {
		c.removeOldest(c.largestKey())
	}
}

func (c *answerCache) newAccountAnswers(key answerKey) *accountAnswers {
	entry := &accountAnswers{}
	onEvict := func(_ uint64, cached cachedAnswer) {
		entry.bytes -= cached.size()
		c.bytes -= cached.size()
	}
	// NewLRU fails only if the size is not positive, which Config.validate
	// excludes.
	entry.answers, _ = simplelru.NewLRU(c.maxPerKey, onEvict)
	return entry
}

// removeExpired removes the key's answers that are older than the TTL.
func (c *answerCache) removeExpired(key answerKey, entry *accountAnswers) {
	for {
		_, cached, ok := entry.answers.GetOldest()
		if !ok || time.Since(cached.storedAt) <= c.ttl {
			return
		}
		c.removeOldest(key)
	}
}

func (c *answerCache) removeOldest(key answerKey) {
	entry := c.byKey[key]
	entry.answers.RemoveOldest()
	if entry.answers.Len() == 0 {
		delete(c.byKey, key)
	}
}

// removeIncarnation removes all answers of an incarnation's tickets.
func (c *answerCache) removeIncarnation(incarnation Incarnation) {
	for key, entry := range c.byKey {
		if key.incarnation == incarnation {
			c.bytes -= entry.bytes
			delete(c.byKey, key)
		}
	}
}

// largestKey returns the key whose answers use the most bytes.
func (c *answerCache) largestKey() answerKey {
	var largest answerKey
	largestBytes := -1
	for key, entry := range c.byKey {
		if entry.bytes > largestBytes {
			largest, largestBytes = key, entry.bytes
		}
	}
	return largest
}

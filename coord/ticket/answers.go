package ticket

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// answerOverhead is the estimated memory in bytes of a cached answer in addition
// to its content.
const answerOverhead = 192

// answerOwner identifies the cached answers of one account's tickets from one
// incarnation.
type answerOwner struct {
	executor Incarnation
	account  string
}

// cachedAnswer is the answer of a finished call, kept for retries.
type cachedAnswer struct {
	fingerprint Fingerprint
	answer      Answer
	storedAt    time.Time // with monotonic clock reading
}

func (k cachedAnswer) size() int { return len(k.answer) + answerOverhead }

// accountAnswers holds the cached answers of one owner, oldest first.
type accountAnswers struct {
	answers *simplelru.LRU[uint64, cachedAnswer]
	bytes   int
}

// answerCache caches answers, with a maximum number of answers per owner and a
// maximum total size in bytes. When the total is exceeded, the oldest answers of
// the owner with the most bytes are evicted, so that a large account cannot
// evict the answers of a small one.
type answerCache struct {
	maxPerOwner int
	maxBytes    int
	ttl         time.Duration
	bytes       int
	byOwner     map[answerOwner]*accountAnswers
}

func newAnswerCache(maxPerOwner, maxBytes int, ttl time.Duration) *answerCache {
	return &answerCache{
		maxPerOwner: maxPerOwner,
		maxBytes:    maxBytes,
		ttl:         ttl,
		byOwner:     make(map[answerOwner]*accountAnswers),
	}
}

func (c *answerCache) get(o answerOwner, serial uint64) (cachedAnswer, bool) {
	s := c.byOwner[o]
	if s == nil {
		return cachedAnswer{}, false
	}
	c.removeExpired(o, s)
	return s.answers.Peek(serial)
}

func (c *answerCache) put(o answerOwner, serial uint64, k cachedAnswer) {
	s := c.byOwner[o]
	if s == nil {
		s = c.newAccountAnswers(o)
	}
	c.removeExpired(o, s)
	c.byOwner[o] = s
	s.bytes += k.size()
	c.bytes += k.size()
	s.answers.Add(serial, k)
	for c.bytes > c.maxBytes {
		c.removeOldest(c.largestOwner())
	}
}

func (c *answerCache) newAccountAnswers(o answerOwner) *accountAnswers {
	s := &accountAnswers{}
	onEvict := func(_ uint64, k cachedAnswer) {
		s.bytes -= k.size()
		c.bytes -= k.size()
	}
	// NewLRU fails only if the size is not positive, which Config.validate
	// excludes.
	s.answers, _ = simplelru.NewLRU(c.maxPerOwner, onEvict)
	return s
}

// removeExpired removes the owner's answers that are older than the TTL.
func (c *answerCache) removeExpired(o answerOwner, s *accountAnswers) {
	for {
		_, k, ok := s.answers.GetOldest()
		if !ok || time.Since(k.storedAt) <= c.ttl {
			return
		}
		c.removeOldest(o)
	}
}

func (c *answerCache) removeOldest(o answerOwner) {
	s := c.byOwner[o]
	s.answers.RemoveOldest()
	if s.answers.Len() == 0 {
		delete(c.byOwner, o)
	}
}

// removeIncarnation removes all answers of an incarnation's tickets.
func (c *answerCache) removeIncarnation(executor Incarnation) {
	for o, s := range c.byOwner {
		if o.executor == executor {
			c.bytes -= s.bytes
			delete(c.byOwner, o)
		}
	}
}

// largestOwner returns the owner whose answers use the most bytes.
func (c *answerCache) largestOwner() answerOwner {
	var largest answerOwner
	bytes := -1
	for o, s := range c.byOwner {
		if s.bytes > bytes {
			largest, bytes = o, s.bytes
		}
	}
	return largest
}

package quarantine

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// partThreshold is the number of endings that must accuse a part for it to be held.
	partThreshold = 3
	// decisionDelay is the time between the ending with which a part reaches partThreshold and the decision.
	// Other nodes report what else was lost, and requests that begin clear the parts that they share.
	decisionDelay = 500 * time.Millisecond
	// episodeGap is the time within which several endings count as one: endpoints that end together were ended
	// by something else.
	episodeGap = 100 * time.Millisecond
	// maxParts limits the number of accused parts, of about 300 bytes each.
	maxParts = 4096
	// maxPartEndings limits the endings that are kept of a part.
	maxPartEndings = 16
)

// accusedPart is a part of prompts that had not begun when their endpoints ended. No request with the part has
// begun since the first of these endings.
type accusedPart struct {
	account Fingerprint
	depth   int
	endings []partEnding
	// suspected is true once becomesSuspect has reported the part.
	suspected bool
}

// partEnding is an ending that accuses a part.
type partEnding struct {
	Ending
	at time.Time // when it was recorded
}

// counted returns the endings that count, oldest first: of different endpoints, under different requests, and not at
// the same time. An innocent request that is sent again, from one endpoint that ends to the next, accuses its parts
// once.
func (p *accusedPart) counted() (list []partEnding) {
	for _, e := range p.endings {
		same := func(c partEnding) bool {
			return c.Endpoint == e.Endpoint || *c.Request == *e.Request || e.at.Sub(c.at).Abs() < episodeGap
		}
		if !slices.ContainsFunc(list, same) {
			list = append(list, e)
		}
	}
	return list
}

// weight returns the number of endings that count.
func (p *accusedPart) weight() int { return len(p.counted()) }

// reachedAt returns when the part reached partThreshold, or false if it hasn't.
func (p *accusedPart) reachedAt() (time.Time, bool) {
	counted := p.counted()
	if len(counted) < partThreshold {
		return time.Time{}, false
	}
	return counted[partThreshold-1].at, true
}

// parts holds the accused parts. It is guarded by the lock of its Table.
type parts struct {
	accused *simplelru.LRU[Fingerprint, *accusedPart]
	// decideAt is when the next decision is due; zero if none is.
	decideAt time.Time
}

func newParts() parts {
	accused, err := simplelru.NewLRU[Fingerprint, *accusedPart](maxParts, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return parts{accused: accused}
}

// record records an ending that accuses a part. It reports whether that is new.
func (p *parts) record(e Ending, now time.Time) (isNew bool) {
	a, known := p.accused.Get(e.Fingerprint)
	if !known {
		a = &accusedPart{}
		p.accused.Add(e.Fingerprint, a)
	}
	if n := len(a.endings); n > 0 && now.Sub(a.endings[n-1].at) > retention {
		a.endings = nil
	}
	a.account, a.depth = e.Account, max(a.depth, e.Depth)
	known = slices.ContainsFunc(a.endings, func(o partEnding) bool { return o.Endpoint == e.Endpoint && *o.Request == *e.Request })
	if known || len(a.endings) >= maxPartEndings {
		return false
	}
	a.endings = append(a.endings, partEnding{e, now})
	if at, reached := a.reachedAt(); reached && p.decideAt.IsZero() {
		p.decideAt = at.Add(decisionDelay)
	}
	return true
}

// suspect returns the part of an account that explains the endings best, or false if none does: the deepest of
// those that are accused by all of them, or all but one. Parts before it in the prompts are accused by the same
// endings, and were it one of these, endings without this part would follow and accuse it more.
func (p *parts) suspect(account Fingerprint) (key Fingerprint, found bool) {
	most := 0
	weights := make(map[Fingerprint]int)
	for _, k := range p.accused.Keys() {
		if a, _ := p.accused.Peek(k); a.account == account {
			weights[k] = a.weight()
			most = max(most, weights[k])
		}
	}
	least := max(most-1, partThreshold)
	depth := -1
	for _, k := range p.accused.Keys() {
		if weights[k] < least {
			continue
		}
		a, _ := p.accused.Peek(k)
		if a.depth > depth || a.depth == depth && weights[k] > weights[key] {
			key, depth = k, a.depth
		}
	}
	return key, depth >= 0
}

// due returns the accounts of which a part is to be decided on.
func (p *parts) due(now time.Time) (accounts []Fingerprint) {
	for _, k := range p.accused.Keys() {
		a, _ := p.accused.Peek(k)
		if at, reached := a.reachedAt(); reached && now.Sub(at) >= decisionDelay && !slices.Contains(accounts, a.account) {
			accounts = append(accounts, a.account)
		}
	}
	return accounts
}

// endpoints returns the endpoints whose endings accuse a part.
func (a *accusedPart) endpoints() (list []string) {
	for _, e := range a.endings {
		if !slices.Contains(list, e.Endpoint) {
			list = append(list, e.Endpoint)
		}
	}
	return list
}

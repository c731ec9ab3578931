package peerload

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/cherryward/cherryward/internal/decay"
	"github.com/cherryward/cherryward/internal/intervals"
)

const (
	// placedHalfLife is the half-life of the rates at which nodes place prompts. A surge counts
	// within half a second.
	placedHalfLife = time.Second
	// minUnreportedPerEngine is the number of unreported prompts per engine from which notices are
	// sent. Below it, two nodes rarely choose the same engine between two reports, and the random
	// part of the costs is enough.
	minUnreportedPerEngine = 0.25
	// maxPlacedPerNotice is the ratio of placements to notices above which no notices are sent. The
	// placement rate of a node varies by a sixth from second to second.
	maxPlacedPerNotice = 1.25
	// minAnnouncedShare is the minimum ratio of the notices of an average peer to this node's placements
	// for notices to count as in use. Callers may use this node more than others, but if far fewer
	// notices arrive, they are lost, or most peers are of a build without notices.
	minAnnouncedShare = 0.25
	// noticeBytes is the length of a notice with names of 20 bytes and token counts of seven
	// digits, with its headers.
	noticeBytes = 240
	// noticeBurst is the time whose notices may be sent at once, and minNoticeBurst their minimum
	// number: callers arrive in small groups.
	noticeBurst    = time.Second
	minNoticeBurst = 4
	// withheldLifetime is how long notices count as not in use after one was withheld.
	withheldLifetime = time.Second
)

// noticeLimits is the size of a failure domain, on which the limits on notices depend.
type noticeLimits struct {
	peers     int           // other nodes of the failure domain
	engines   int           // engines of the failure domain
	reportAge time.Duration // age of load reports
	link      int           // rate of this host's link in bytes per second; 0 if unknown
}

// perSecond returns the maximum number of notices per second that this node may send.
func (l noticeLimits) perSecond() float64 { return intervals.NoticeRate(l.peers, l.link, noticeBytes) }

// needsNotices reports whether this node announces its placements, given the numbers of prompts per
// second that it and all nodes of the failure domain place.
//
// It addresses several nodes that choose the same engine within the age of a load report: with 221
// prompts per second in a failure domain of 16 nodes and 22 engines, and reports that are 110 ms old,
// 24 prompts are unreported at any time, and the fullest engine had 25 runs at a mean of 15. Where
// fewer than one prompt for every four engines is unreported, the messages are saved. Where the node
// places clearly more prompts than it may announce, announcing some of them would take messages and still
// leave the others unknown.
func needsNotices(own, all float64, l noticeLimits) bool {
	if l.peers == 0 || l.engines == 0 || own > maxPlacedPerNotice*l.perSecond() {
		return false
	}
	unreported := all * l.reportAge.Seconds()
	return unreported >= minUnreportedPerEngine*float64(l.engines)
}

// noticePacer decides which placements this node announces. The zero value is ready to use. It is
// safe for concurrent use.
type noticePacer struct {
	mu         sync.Mutex
	placed     decay.Rate // prompts placed by this node
	announced  decay.Rate // prompts announced by other nodes
	limiter    *rate.Limiter
	withheldAt time.Time // when a notice was last withheld because of a limit
	withheld   int64     // number of notices withheld
}

// take counts a placement and reports whether it is to be announced.
func (p *noticePacer) take(l noticeLimits, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placed.Add(1, placedHalfLife, now)
	if !p.needed(l, now) {
		return false
	}
	p.setLimit(l.perSecond(), now)
	if !p.limiter.AllowN(now, 1) {
		p.recordWithheld(now)
		return false
	}
	return true
}

// needed applies needsNotices. The other nodes are assumed to place as many prompts as this one, or
// those that they announce if these are more: callers may use some nodes less than others.
func (p *noticePacer) needed(l noticeLimits, now time.Time) bool {
	own := p.placed.At(placedHalfLife, now)
	all := own + max(float64(l.peers)*own, p.announced.At(placedHalfLife, now))
	return needsNotices(own, all, l)
}

// recordAnnounced counts a prompt that another node announced.
func (p *noticePacer) recordAnnounced(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.announced.Add(1, placedHalfLife, now)
}

// setLimit sets the maximum number of notices per second.
func (p *noticePacer) setLimit(perSecond float64, now time.Time) {
	limit := rate.Limit(perSecond)
	burst := max(int(math.Ceil(perSecond*noticeBurst.Seconds())), minNoticeBurst)
	switch {
	case p.limiter == nil:
		p.limiter = rate.NewLimiter(limit, burst)
	case p.limiter.Limit() != limit:
		p.limiter.SetLimitAt(now, limit)
		p.limiter.SetBurstAt(now, burst)
	}
}

// withhold records that a notice was not sent because of a limit.
func (p *noticePacer) withhold(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordWithheld(now)
}

func (p *noticePacer) recordWithheld(now time.Time) {
	p.withheldAt = now
	p.withheld++
}

// withheldCount returns the number of notices withheld because of a limit.
func (p *noticePacer) withheldCount() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.withheld
}

// inUse reports whether this node announces all of its placements and the others announce theirs, as
// far as it can tell. Collectors receive no notices.
func (p *noticePacer) inUse(l noticeLimits, collects bool, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.withheld > 0 && now.Sub(p.withheldAt) < withheldLifetime || !p.needed(l, now) {
		return false
	}
	fromEachPeer := p.announced.At(placedHalfLife, now) / float64(l.peers)
	return collects || fromEachPeer >= minAnnouncedShare*p.placed.At(placedHalfLife, now)
}

// NoticeResult is what became of a received notice.
type NoticeResult int

// Results of a received notice.
const (
	NoticeCounted     NoticeResult = iota // counted until a load report includes the prompt
	NoticeIncluded                        // the load reports in use include the prompt already
	NoticeOutdated                        // sent by an earlier start of the node
	NoticeExcess                          // too many notices are pending
	NoticeUnknownNode                     // the node is not listed in this failure domain
	NoticeInvalid                         // malformed or out of range
	noticeResultCount
)

// String implements fmt.Stringer.
func (r NoticeResult) String() string {
	return [...]string{"counted", "included", "outdated", "excess", "unknown_node", "invalid"}[r]
}

// noticeCounters counts notices. It is safe for concurrent use.
type noticeCounters struct {
	sent, sentBytes atomic.Int64
	received        [noticeResultCount]atomic.Int64
}

func (c *noticeCounters) add(r NoticeResult) { c.received[r].Add(1) }

// NoticeStats are the numbers of notices since the start of the process.
type NoticeStats struct {
	Sent      int64 // messages sent
	SentBytes int64 // bytes of these messages, including headers
	Withheld  int64 // placements that were not announced because of a limit
	// Received holds the number of received messages by NoticeResult.
	Received [noticeResultCount]int64
}

// NoticeStats returns the numbers of notices so far.
func (e *Exchange) NoticeStats() NoticeStats {
	s := NoticeStats{Sent: e.notices.counters.sent.Load(), SentBytes: e.notices.counters.sentBytes.Load(), Withheld: e.notices.pacer.withheldCount()}
	for i := range s.Received {
		s.Received[i] = e.notices.counters.received[i].Load()
	}
	return s
}

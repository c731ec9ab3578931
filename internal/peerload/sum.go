package peerload

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// startTagCount is the number of different start tags. A tag takes up to 3 digits in each load,
// whereas the start time has 13.
const startTagCount = 997

// StartTag distinguishes a start of an endpoint from those shortly before and after it; 0 means
// unknown.
type StartTag int

// startTagOf returns the tag of a start time in Unix milliseconds; 0 if the time is unknown.
func startTagOf(startedMs int64) StartTag {
	if startedMs <= 0 {
		return 0
	}
	return StartTag(1 + startedMs%startTagCount)
}

// Sum is the combined load that all peers report for an endpoint.
type Sum struct {
	Running, PendingPromptTokens, HeldTokens int

	failures  int // sum of the failure rates in percent
	reporters int // number of peers that report failures
}

// FailureRate returns the mean of the reported failure rates, or 0 if too few peers report
// failures.
func (s Sum) FailureRate() float64 {
	if s.reporters < minReporters {
		return 0
	}
	return float64(s.failures) / percent / float64(s.reporters)
}

// sumOf returns the sum for the load of one peer.
func sumOf(l *Load) Sum {
	s := Sum{Running: l.Running, PendingPromptTokens: l.PendingPromptTokens, HeldTokens: l.HeldTokens}
	if l.Failures > 0 {
		s.failures, s.reporters = l.Failures, 1
	}
	return s
}

// plus returns s + o.
func (s Sum) plus(o Sum) Sum {
	return Sum{
		Running: s.Running + o.Running, PendingPromptTokens: s.PendingPromptTokens + o.PendingPromptTokens, HeldTokens: s.HeldTokens + o.HeldTokens,
		failures: s.failures + o.failures, reporters: s.reporters + o.reporters,
	}
}

// minus returns s - o. Lost messages can make o exceed s, in which case the result is 0.
func (s Sum) minus(o Sum) Sum {
	return Sum{
		Running: max(s.Running-o.Running, 0), PendingPromptTokens: max(s.PendingPromptTokens-o.PendingPromptTokens, 0), HeldTokens: max(s.HeldTokens-o.HeldTokens, 0),
		failures: max(s.failures-o.failures, 0), reporters: max(s.reporters-o.reporters, 0),
	}
}

// loadKey identifies one start of an endpoint. Endpoints with equal keys would be counted as one,
// which is very unlikely: it happens in one of 8,000 fleets of 1,000 endpoints.
type loadKey uint32

func keyOf(id string, start StartTag) loadKey {
	const spread = 0x9E3779B9 // distributes the small start tags over all keys
	return loadKey(uint32(xxhash.Sum64String(id)) + uint32(start)*spread)
}

// Sums holds the combined load that all peers report, by endpoint and start.
type Sums map[loadKey]Sum

// at returns the load at one start of an endpoint, given the keys for an unknown start and for this
// one.
func (s Sums) at(unknown, started loadKey) Sum {
	if started == unknown {
		return s[unknown]
	}
	return s[unknown].plus(s[started])
}

// directLoads returns the sums of the peers' own digests, and the number of these peers.
func (t *Table) directLoads(now time.Time) (sums Sums, nodes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.directLoadsLocked(now)
}

// directLoadsLocked is directLoads for callers that hold the lock.
func (t *Table) directLoadsLocked(now time.Time) (sums Sums, nodes int) {
	sums = make(Sums)
	for _, p := range t.peers {
		if now.Sub(p.at) <= DigestLifetime {
			nodes++
			sums.add(p.digest.Loads, p.digest.Starts)
		}
	}
	return sums, nodes
}

// add adds the loads of a digest.
func (s Sums) add(loads []Load, starts []StartTag) {
	for i := range loads {
		key := keyAt(loads, starts, i)
		s[key] = s[key].plus(sumOf(&loads[i]))
	}
}

// subtract subtracts loads that add has added.
func (s Sums) subtract(loads []Load, starts []StartTag) {
	for i := range loads {
		key := keyAt(loads, starts, i)
		s[key] = s[key].minus(sumOf(&loads[i]))
	}
}

// keyAt returns the key of the i-th load of a digest, which may lack start tags.
func keyAt(loads []Load, starts []StartTag, i int) loadKey {
	if i < len(starts) {
		return keyOf(loads[i].Endpoint, starts[i])
	}
	return keyOf(loads[i].Endpoint, 0)
}

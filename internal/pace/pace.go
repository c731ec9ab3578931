// Package pace says how often a node asks the platform and tells its peers, by the
// number of nodes.
//
// A system of up to MeshNodes nodes asks as often as is useful. In a larger one, what
// each node costs the others grows with their number, so the rates are bounded for all
// nodes together. All functions are pure.
package pace

import "time"

const (
	// MeshNodes is the largest number of nodes that tell one another everything and
	// follow every engine. It is also the number of event readers that an engine of
	// the users' platform serves at once.
	MeshNodes = 12

	// registryPause is the time between two reads of the registry in a small system.
	registryPause = 400 * time.Millisecond
	// registryReads is the number of reads of the registry by all nodes in a second.
	registryReads = 90
	// registryShare is the part of the drain bound that may pass between two reads.
	// The rest is for the read itself and one that fails.
	registryShare = 0.35

	// readerShare is the part of the drain bound between two reads of the registry by a node
	// that reads it for others: with their questions, each 0.4 s, half of the bound is left for
	// a read that fails and for calls.
	readerShare = 0.3

	// configWait is how long a read of the configuration waits for a change in a
	// small system. Each read that ends proves that the configuration was current
	// when it was sent, so that the proof is up to twice as old.
	configWait = 900 * time.Millisecond
	// configReads is the number of reads of the configuration by all nodes in a second.
	configReads = 60
	// configShare is the part of the revocation bound that a read may wait: three
	// waits, a failed one among them, fit into the bound.
	configShare = 0.3

	// eventsWait and eventsPause are how long a question for events waits, and the
	// time between the start of two, where all readers may wait at the same time.
	eventsWait  = 800 * time.Millisecond
	eventsPause = 250 * time.Millisecond
	// eventsShortWait is the shortest wait that is not priced as a probe.
	eventsShortWait = 200 * time.Millisecond
	// eventsUse is the part of a holder's places for waiting readers that nodes use.
	eventsUse = 0.8

	// digestSpacing is the shortest time between two messages to peers. It leaves
	// time for the request that a message is sent for to be counted.
	digestSpacing = 15 * time.Millisecond
	// digestInterval is the longest time between two messages.
	digestInterval = 150 * time.Millisecond
	// digestsHeard bounds the messages that a node hears in a second: each takes
	// some 40 microseconds of a processor.
	digestsHeard = 400

	// slowestLink is what nodes are made for, in bytes a second: 10 Mbit/s.
	slowestLink = 10_000_000 / 8
	// messageShare is the part of its host's link that a node's messages to others take which
	// it sends of its own accord. What it hears is as much, as all tell alike.
	messageShare = 5
	// MessageBytes bounds the bytes of these messages in a second at the slowest link.
	MessageBytes = slowestLink / messageShare
	// answerShare is the part of its host's link, in percent, that answers to other nodes take.
	// With messages they leave requests half of it.
	answerShare = 30
	// AnswerBytes bounds the bytes of these answers in a second at the slowest link.
	AnswerBytes = slowestLink / 100 * answerShare

	// domainInterval is the time between two messages of a node to those of other failure
	// domains on what its own one names at stores, and domainMessages bounds their number in a
	// second.
	domainInterval = 500 * time.Millisecond
	domainMessages = 200

	// fallbackReads is the number of reads of one topic in a second by all nodes while the
	// store fails, and fallbackLeast the shortest time between two of one node.
	fallbackReads = 20
	fallbackLeast = 2 * time.Second

	// rosterPause is the time between two reads of the nodes' addresses while nodes
	// may be coming up together; each address is a record that ends a waiting read.
	rosterPause = 2 * time.Second
)

// Registry returns the time between two reads of the registry.
func Registry(nodes int, drain time.Duration) time.Duration {
	return between(registryPause, perSecond(nodes, registryReads), part(drain, registryShare))
}

// Reader returns the time between two reads of the registry by a node of a large system that
// reads it for others.
func Reader(drain time.Duration) time.Duration { return part(drain, readerShare) }

// ConfigWait returns how long a read of the configuration waits for a change.
func ConfigWait(nodes int, revoke time.Duration) time.Duration {
	return between(configWait, perSecond(nodes, configReads), part(revoke, configShare))
}

// Roster returns the time between two reads of the nodes' addresses.
func Roster(nodes int) time.Duration {
	if Whole(nodes) {
		return 0
	}
	return rosterPause
}

// Events returns how long a question for a holder's events waits, and the time
// between the start of two, where the holder lets so many readers wait at once.
func Events(nodes, readers int) (wait, pause time.Duration) {
	if nodes <= max(readers, 1) {
		return eventsWait, eventsPause
	}
	places := float64(max(readers, 1)) * eventsUse
	return eventsShortWait, time.Duration(float64(eventsShortWait) * float64(nodes) / places)
}

// Digests returns the shortest and the longest time between two messages to peers.
func Digests(peers int) (spacing, interval time.Duration) {
	spacing = max(digestSpacing, perSecond(peers, digestsHeard))
	return spacing, max(digestInterval, spacing)
}

// Spread returns how long a node tells nothing more after messages of so many bytes, at a link
// that carries so many a second, 0 if not known.
func Spread(bytes, link int) time.Duration {
	return time.Duration(bytes) * time.Second / time.Duration(messageBytes(link))
}

// LongestMessage returns the bytes of the longest message that so many peers can be told
// within a time, at a link that carries so many a second.
func LongestMessage(peers, link int, within time.Duration) int {
	return int(within.Seconds() * float64(messageBytes(link)) / float64(max(peers, 1)))
}

// Answers returns the bytes of answers to other nodes in a second at a link that carries so many,
// 0 if not known.
func Answers(link int) int { return max(link/100*answerShare, AnswerBytes) }

// messageBytes returns what a node tells others of its own accord in a second at a link.
func messageBytes(link int) int { return max(link/messageShare, MessageBytes) }

// DomainDigests returns the time between two messages of a node to so many nodes of other
// failure domains on what its own one names at stores.
func DomainDigests(nodes int) time.Duration {
	return max(domainInterval, perSecond(nodes, domainMessages))
}

// Fallback returns the time between two reads of a store that fails, for a node of a large
// system: all nodes would else ask it for three topics several times a second.
func Fallback(nodes int) time.Duration {
	if Whole(nodes) {
		return 0
	}
	return max(fallbackLeast, perSecond(nodes, fallbackReads))
}

// Whole reports whether nodes tell one another everything.
func Whole(nodes int) bool { return nodes <= MeshNodes }

// perSecond returns the time between two calls of a node where all make so many a
// second.
func perSecond(nodes, calls int) time.Duration {
	return time.Duration(nodes) * time.Second / time.Duration(calls)
}

func part(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * share)
}

// between returns want, but at least least, and at most most if that is longer than
// least.
func between(least, want, most time.Duration) time.Duration {
	return max(least, min(want, most))
}

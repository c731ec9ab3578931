// Package intervals computes how often a node reads the platform's services and sends messages to
// its peers, depending on the number of nodes.
//
// In a system of up to MaxMeshNodes nodes, a small one, all nodes exchange reports directly (full
// mesh), and each node reads as often as is useful. In a larger one, the load that each node causes
// grows with the number of nodes, so the rates of all nodes together are limited, unless the
// operators' bounds require more reads. All functions are pure.
package intervals

import "time"

const (
	// MaxMeshNodes is the largest number of nodes that send all reports to one another and read the
	// events of every engine. It is also the number of event readers that an engine of the users'
	// platform serves at once.
	MaxMeshNodes = 12

	// minRegistryInterval is the shortest time between two reads of the registry by a node. It
	// applies in a small system.
	minRegistryInterval = 400 * time.Millisecond
	// maxRegistryReads is the desired maximum number of reads of the registry per second by all
	// nodes together. The drain bound may require more.
	maxRegistryReads = 90
	// registryShare is the fraction of the drain bound that may pass between two reads; the rest is
	// for the read itself and one failed read. The drain bound is the operators' limit on how long
	// requests may still reach a removed endpoint.
	registryShare = 0.35

	// readerShare is the fraction of the drain bound between two reads of the registry by a node
	// that reads it for others. Together with the others' polls, one per 0.4 s, this leaves half of
	// the bound for a failed read and for calls.
	readerShare = 0.3

	// minConfigWait is the shortest time for which a read of the configuration waits for a change.
	// It applies in a small system. A completed read proves that the configuration was current when
	// the read was sent, so the confirmation is up to twice as old as the wait.
	minConfigWait = 900 * time.Millisecond
	// maxConfigReads is the desired maximum number of reads of the configuration per second by all
	// nodes together. The revocation bound may require more.
	maxConfigReads = 60
	// configShare is the fraction of the revocation bound for which a read may wait: three waits,
	// including a failed one, fit into the bound. The revocation bound is the operators' limit on
	// how long a revoked key may still be accepted.
	configShare = 0.3

	// eventsWait is how long a read of events waits, and eventsInterval the time between the starts
	// of two reads, if the engine or store lets all readers wait at the same time.
	eventsWait     = 800 * time.Millisecond
	eventsInterval = 250 * time.Millisecond
	// eventsShortWait is the wait of a read if not all readers can wait at once. It is the shortest
	// wait at which an engine or store does not count the read as a probe.
	eventsShortWait = 200 * time.Millisecond
	// eventsReaderShare is the fraction of the slots for waiting readers of an engine or store that
	// the nodes use.
	eventsReaderShare = 0.8

	// minDigestInterval is the shortest time between two digests, the load messages to peers. It
	// leaves time to count the request that caused the message.
	minDigestInterval = 15 * time.Millisecond
	// maxDigestInterval is the longest time between two digests.
	maxDigestInterval = 150 * time.Millisecond
	// maxDigestsReceived is the maximum number of digests that a node receives per second. Each
	// takes about 40 microseconds of processor time.
	maxDigestsReceived = 400

	// maxNoticesReceived is the maximum number of placement notices that a node receives per second.
	// With the digests of collectors and the messages of other failure domains, about 80 per second,
	// it receives at most 400 messages per second.
	maxNoticesReceived = 320

	// minLinkRate is the rate of the slowest supported link in bytes per second: 10 Mbit/s.
	minLinkRate = 10_000_000 / 8
	// messageLinkDivisor sets the part of its host's link that a node uses for unsolicited messages
	// to other nodes: one fifth. It receives as much, since all nodes send alike.
	messageLinkDivisor = 5
	// MinMessageRate is the limit on the rate of these messages at the slowest link, in bytes per
	// second. Faster links allow more.
	MinMessageRate = minLinkRate / messageLinkDivisor
	// responseLinkPercent is the part of its host's link, in percent, that a node uses for responses
	// to other nodes. Together with the messages this leaves half of the link for requests.
	responseLinkPercent = 30
	// MinAnswerRate is the limit on the rate of these responses at the slowest link, in bytes per
	// second. Faster links allow more.
	MinAnswerRate = minLinkRate / 100 * responseLinkPercent

	// minDomainInterval is the minimum time between two messages of a node to nodes of other
	// failure domains about the weight versions that its own domain references at stores.
	// maxDomainMessages is the maximum number of such messages per second.
	minDomainInterval = 500 * time.Millisecond
	maxDomainMessages = 200

	// maxFallbackReads is the maximum number of reads of one topic per second by all nodes together
	// while the metadata store fails, and minFallbackInterval the shortest time between two reads
	// of one node.
	maxFallbackReads    = 20
	minFallbackInterval = 2 * time.Second

	// maxConfirmReads is the maximum number of reads per second by all nodes together that confirm the
	// records of releases. A node sends them only while a release has no record, or callers resume streams
	// of which no node has one.
	maxConfirmReads = 1000

	// rosterInterval is the time between two reads of the list of nodes while nodes may be starting
	// together. Each new entry is a record that ends a waiting read.
	rosterInterval = 2 * time.Second
)

// RegistryInterval returns the time between two reads of the registry.
func RegistryInterval(nodes int, drain time.Duration) time.Duration {
	return clamp(minRegistryInterval, intervalFor(nodes, maxRegistryReads), fraction(drain, registryShare))
}

// ReaderInterval returns the time between two reads of the registry by a node of a large system
// that reads it for others.
func ReaderInterval(drain time.Duration) time.Duration { return fraction(drain, readerShare) }

// ConfigWait returns how long a read of the configuration waits for a change.
func ConfigWait(nodes int, revoke time.Duration) time.Duration {
	return clamp(minConfigWait, intervalFor(nodes, maxConfigReads), fraction(revoke, configShare))
}

// RosterInterval returns the time between two reads of the list of nodes; 0 in a small system.
func RosterInterval(nodes int) time.Duration {
	if FullMesh(nodes) {
		return 0
	}
	return rosterInterval
}

// ConfirmInterval returns the least time between two reads of a node that confirm the records of releases.
func ConfirmInterval(nodes int) time.Duration { return intervalFor(nodes, maxConfirmReads) }

// EventIntervals returns how long a read of the events of an engine or store waits, and the time
// between the starts of two reads, if the engine or store lets the given number of readers wait at
// once.
func EventIntervals(nodes, readers int) (wait, interval time.Duration) {
	if nodes <= max(readers, 1) {
		return eventsWait, eventsInterval
	}
	slots := float64(max(readers, 1)) * eventsReaderShare
	return eventsShortWait, time.Duration(float64(eventsShortWait) * float64(nodes) / slots)
}

// DigestIntervals returns the shortest and the longest time between two digests.
func DigestIntervals(peers int) (spacing, interval time.Duration) {
	spacing = max(minDigestInterval, intervalFor(peers, maxDigestsReceived))
	return spacing, max(maxDigestInterval, spacing)
}

// SendPause returns how long a node pauses after it sent messages of the given number of bytes. link
// is the rate of its link in bytes per second; 0 if unknown.
func SendPause(bytes, link int) time.Duration {
	return time.Duration(bytes) * time.Second / time.Duration(messageRate(link))
}

// MaxMessageSize returns the size in bytes of the longest message that can be sent to the given
// number of peers within a time. link is the rate of the link in bytes per second; 0 if unknown.
func MaxMessageSize(peers, link int, within time.Duration) int {
	return int(within.Seconds() * float64(messageRate(link)) / float64(max(peers, 1)))
}

// NoticeRate returns the maximum number of placement notices per second that a node sends to each of
// the given number of peers, if each message has the given number of bytes. They take at most half of
// the link's part for messages. link is the rate of the link in bytes per second; 0 if unknown.
func NoticeRate(peers, link, bytes int) float64 {
	if peers <= 0 {
		return 0
	}
	byLink := float64(messageRate(link)) / 2 / float64(peers*bytes)
	return min(maxNoticesReceived/float64(peers), byLink)
}

// AnswerRate returns the rate of responses to other nodes in bytes per second. link is the rate of
// the link in bytes per second; 0 if unknown.
func AnswerRate(link int) int { return max(link/100*responseLinkPercent, MinAnswerRate) }

// messageRate returns the rate of unsolicited messages to other nodes in bytes per second.
func messageRate(link int) int { return max(link/messageLinkDivisor, MinMessageRate) }

// DomainDigestInterval returns the time between two messages to the given number of nodes of other
// failure domains about the weight versions that a node's own domain references at stores.
func DomainDigestInterval(nodes int) time.Duration {
	return max(minDomainInterval, intervalFor(nodes, maxDomainMessages))
}

// FallbackInterval returns the time between two reads of a failing metadata store by a node of a
// large system; 0 in a small one. Without it, all nodes would read three topics several times per
// second.
func FallbackInterval(nodes int) time.Duration {
	if FullMesh(nodes) {
		return 0
	}
	return max(minFallbackInterval, intervalFor(nodes, maxFallbackReads))
}

// FullMesh reports whether the system is small enough for the nodes to send all reports to one
// another.
func FullMesh(nodes int) bool { return nodes <= MaxMeshNodes }

// intervalFor returns the time between two calls of a node if all nodes together make the given
// number of calls per second.
func intervalFor(nodes, calls int) time.Duration {
	return time.Duration(nodes) * time.Second / time.Duration(calls)
}

// fraction returns the given share of a duration.
func fraction(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * share)
}

// clamp returns value limited to the range from lower to upper; lower has precedence.
func clamp(lower, value, upper time.Duration) time.Duration {
	return max(lower, min(value, upper))
}

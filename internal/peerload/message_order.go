package peerload

import "time"

// messageOrder is the position of a message among those of its sender, and when it was received.
type messageOrder struct {
	incarnation, seq int64
	at               time.Time
}

// latestMessages holds the latest message of each sender.
type latestMessages map[string]messageOrder

// add adds a message, and reports whether it is the latest one of its sender. Senders without a message
// within the lifetime are removed.
func (l latestMessages) add(sender string, m messageOrder, lifetime time.Duration) (latest bool) {
	known, exists := l[sender]
	if exists && (m.incarnation < known.incarnation || m.incarnation == known.incarnation && m.seq <= known.seq) && m.at.Sub(known.at) <= lifetime {
		return false
	}
	l[sender] = m
	if !exists {
		for other, o := range l {
			if m.at.Sub(o.at) > lifetime {
				delete(l, other)
			}
		}
	}
	return true
}

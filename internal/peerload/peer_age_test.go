package peerload

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

// TestDomainDigestAge checks that a failure domain counts as active until its last digest is too
// old.
func TestDomainDigestAge(t *testing.T) {
	table := NewTable()
	test.False(t, table.ReceivedFromOtherDomains(now, time.Second))
	table.RecordDomainDigest(DomainDigest{Node: "a", Domain: "d1", Incarnation: 1, Seq: 1}, now)
	later := now.Add(time.Second / 2)
	test.True(t, table.ReceivedFromOtherDomains(later, time.Second))
	test.True(t, table.ReceivedFromDomain("d1", later, time.Second))
	test.False(t, table.ReceivedFromDomain("d2", later, time.Second))
	later = now.Add(time.Second)
	test.False(t, table.ReceivedFromOtherDomains(later, time.Second))
	test.False(t, table.ReceivedFromDomain("d1", later, time.Second))
}

// TestLivePeersExpire checks that nodes count as live until they have sent nothing for
// peerLifetime.
func TestLivePeersExpire(t *testing.T) {
	table := NewTable()
	table.Record(digest("a", 1, 1, 0), now)
	table.Record(digest("b", 1, 1, 0), now.Add(peerLifetime))
	test.Eq(t, 3, table.LiveNodes(now.Add(peerLifetime)))
	test.Eq(t, 2, table.LiveNodes(now.Add(2*peerLifetime)))
	test.Eq(t, 1, table.LiveNodes(now.Add(3*peerLifetime)))
	test.Eq(t, 3, table.Nodes())
}

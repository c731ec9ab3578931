package kvcache

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestIndexReleasesUnusedGroups checks that the index releases the shared strings of an
// account and version with the last block that uses them. Otherwise memory would grow
// as accounts and versions change.
func TestIndexReleasesUnusedGroups(t *testing.T) {
	x := NewStoreIndex()
	manifest := func(i int, key string) Manifest {
		identity := testIdentity.withVersion(fmt.Sprint("v", i))
		return Manifest{Key: key, Name: fmt.Sprint("n", i), Bytes: 1, Identity: identity, Layout: testLayout}
	}
	chain := request("a", 2).Chain
	kept, replaced := newStoreKey(chain[0], testLayout, 0).String(), newStoreKey(chain[1], testLayout, 1).String()
	x.Add(manifest(0, kept), time.Time{})
	for i := range 50 {
		x.Add(manifest(i, replaced), time.Time{})
	}
	must.MapLen(t, 2, x.groups)
	x.Remove(replaced, "n49")
	must.MapLen(t, 1, x.groups)
	must.Eq(t, 1, x.groups[groupKey{testIdentity.withVersion("v0"), testLayout}].refs)
	x.applyListing(x.startListing(), nil, time.Time{})
	must.MapEmpty(t, x.groups)
}

func (id Identity) withVersion(version string) Identity {
	id.Version = version
	return id
}

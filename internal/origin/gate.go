package origin

import (
	"context"
	"slices"
	"time"
)

// maxCopySkew is the time by which a node's copy of the records may be older than its copy of the registry for
// streams to begin at a release that the two name. A record that was removed since is removed no sooner than
// removeDelay after its release left the registry.
const maxCopySkew = 30 * time.Second

// maxLoneAge is the age of the registry's copy up to which streams begin at a node that hears of no other one. It is below
// removeDelay by more than nodes take to notice that they are cut off.
const maxLoneAge = removeDelay - 10*time.Second

// Gate decides at which releases new streams may begin, and by that knows which of them can have begun a stream.
//
// Guarantees:
//
//   - A stream begins at a release only after the record of that release is in the platform's store.
//   - Sole returns a release only if no other one can have begun streams that were resumed before the call. It rests on
//     a read of the records that is sent after the call, never on what this node or others saw before, or on which nodes
//     there are. A node that can't read them gets an error.
type Gate struct {
	Releases *Releases
	Observer *Observer
	// Retention is that of the origins of streams.
	Retention func() time.Duration
	// IsIsolated reports whether this node hears of none of the other nodes that it lists.
	IsIsolated func() bool
	Now        func() time.Time
}

// MayBegin reports whether streams may begin at endpoints of a release of a service.
func (g *Gate) MayBegin(service, release string) bool {
	o := recordableRelease(Origin{service, release})
	if !o.recordable() {
		return true // nothing is resumed at such a service without a record of the stream
	}
	at, active := g.Releases.activeAt(o)
	return active && !g.isCutOff() && g.Observer.lastConfirmed().Sub(at) <= maxCopySkew
}

// isCutOff reports whether this node has been without the registry and the other nodes for so long that they may have removed
// the records of releases whose endpoints it alone still reaches.
func (g *Gate) isCutOff() bool {
	return g.Now().Sub(g.Observer.lastConfirmed()) > maxLoneAge && g.IsIsolated()
}

// IsClosed reports whether a service has endpoints, and no stream may begin at any of them.
func (g *Gate) IsClosed(service string) bool {
	listed := g.Observer.listedReleases(service)
	return len(listed) > 0 && !slices.ContainsFunc(listed, func(release string) bool { return g.MayBegin(service, release) })
}

// IsShared reports whether streams of a service can have begun at several releases, as far as this node knows.
func (g *Gate) IsShared(service string) bool {
	k := g.known(service)
	return !k.whole || len(k.all) > 1
}

// Sole returns the release that alone can have begun any stream of a service that can still be resumed; empty if
// there are several, or none that is known. It fails if the records can't be read now.
func (g *Gate) Sole(ctx context.Context, service string) (release string, err error) {
	if err := g.Releases.Confirm(ctx); err != nil {
		return "", err
	}
	k := g.known(service)
	if !k.whole || len(k.all) != 1 || k.recorded != 1 {
		return "", nil
	}
	return k.all[0], nil
}

// knownReleases are the releases of a service that a node knows.
type knownReleases struct {
	all      []string // that have a record, or an endpoint that this node saw, sorted
	recorded int      // number of those with a record
	whole    bool     // no others have a record
}

// known returns the releases of a service that this node knows.
func (g *Gate) known(service string) knownReleases {
	recorded, whole := g.Releases.of(service)
	all := append(recorded, g.Observer.seenReleases(service, g.Retention(), g.Now())...)
	slices.Sort(all)
	return knownReleases{slices.Compact(all), len(recorded), whole}
}

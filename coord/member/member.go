package member

import (
	"context"
	"slices"
	"strings"
	"time"
)

// Time bounds of the invariants. The tests check them.
const (
	// DetectBound is the maximum time until a stopped member is Dead.
	DetectBound = 20 * time.Second
	// DomainBound is the maximum time until all members of a failure domain
	// that stops at once are Dead.
	DomainBound = 30 * time.Second
	// RejoinBound is the maximum time that a reachable member stays Dead.
	RejoinBound = 60 * time.Second
	// LeaveBound is the maximum time until all peers show a member that leaves
	// as Leaving.
	LeaveBound = 3 * time.Second
)

// State is the status of a member in a view.
type State uint8

// States of a member. Only Alive and Suspect members should receive new work.
const (
	// Alive means that there is no confirmed suspicion against the member.
	Alive State = iota
	// Suspect means that two observers could not reach the member. The member
	// can still refute this.
	Suspect
	// Leaving means that the member, or the roster, announced that the member
	// is leaving. It completes its work and must not receive new work.
	Leaving
	// Dead means that the member did not refute the suspicion in time.
	Dead
)

// String returns the state's name in lower case, or "unknown".
func (s State) String() string {
	names := [...]string{"alive", "suspect", "leaving", "dead"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Member is one entry of a View.
type Member struct {
	ID     string
	Addr   string
	Domain string
	// Incarnation is a random number that the member chooses at each start. It
	// is zero while the member is known only from the roster.
	Incarnation uint64
	// Seq orders the reports about an ID. The member raises it to refute a
	// suspicion.
	Seq   uint32
	State State
	// Listed reports whether the newest roster contains the member.
	Listed bool
}

// View is an immutable snapshot of the members known to one node, including the
// node itself. The caller must not modify Members.
type View struct {
	// Version increases with each change.
	Version uint64
	// Members is sorted by ID.
	Members []Member
	// Isolated is set when no exchange has succeeded for 10 s. The states of
	// the other members are then out of date, and none of them becomes Dead.
	Isolated bool
	// Superseded is set when another process uses this node's ID.
	Superseded bool
}

// Lookup returns the member with the given ID, and false if there is none.
func (v View) Lookup(id string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, id, func(m Member, id string) int {
		return strings.Compare(m.ID, id)
	})
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// RosterEntry is one host on the platform's roster.
type RosterEntry struct {
	ID      string
	Addr    string
	Domain  string
	Leaving bool
}

// Transport sends a request to a peer and returns the response. It must
// authenticate peers, because this package trusts their messages. Exchange must
// return when ctx ends. An error counts as a failed probe. Repeating an
// exchange is always safe.
type Transport interface {
	Exchange(ctx context.Context, addr string, req *Message) (*Message, error)
}

// Stats counts events since the creation of a List.
type Stats struct {
	// Exchanges counts the exchanges that were started, Failures those that
	// failed.
	Exchanges, Failures uint64
	// Suspicions counts the failed probes by this node that count against a
	// member. Confirmed counts the suspicions that enough observers confirmed.
	Suspicions, Confirmed uint64
	// Deaths counts the changes of members to Dead, Revivals those from Dead
	// back to live.
	Deaths, Revivals uint64
	// Refutations counts how often this node raised its Seq to override reports
	// about itself.
	Refutations uint64
	// Syncs counts the digest comparisons that were requested or answered.
	Syncs uint64
	// Refused counts how often a message or an entry was discarded because it
	// was invalid or exceeded a limit.
	Refused uint64
}

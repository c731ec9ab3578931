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
	// DomainDetectBound is the maximum time until all members of a failure domain
	// that stops at once are Dead.
	DomainDetectBound = 30 * time.Second
	// RejoinBound is the maximum time that a reachable member stays Dead.
	RejoinBound = 60 * time.Second
	// LeaveBound is the maximum time until all connected nodes show a leaving
	// member as Leaving.
	LeaveBound = 3 * time.Second
)

// State is the status of a member in a view.
type State uint8

// States of a member. A member is live unless it is Dead. Only Alive and Suspect
// members should receive new work.
const (
	// Alive means that there is no confirmed suspicion against the member.
	Alive State = iota
	// Suspect means that two observers could not reach the member, or one
	// observer whose view contains no other live member. The member can still
	// refute this.
	Suspect
	// Leaving means that the member reported that it is leaving, that the roster
	// marks it as leaving, or that it was removed from the roster. It completes
	// its work and must not receive new work.
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
	// Isolated is set when no message from another member has arrived for 10 s
	// while at least one other member is not Dead. The states of the other
	// members are then out of date, and none of them becomes Dead. If the view
	// contains only one other member, that member becomes Dead first and
	// Isolated is never set.
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
	// FailedProbes counts the probes that failed after all retries and so
	// counted against a member. Confirmed counts the suspicions that enough
	// observers confirmed.
	FailedProbes, Confirmed uint64
	// Deaths counts the changes of members to Dead, Recoveries those from Dead
	// back to live.
	Deaths, Recoveries uint64
	// Refutations counts how often this node raised its Seq to override reports
	// about itself.
	Refutations uint64
	// Syncs counts the digest comparisons that were requested or answered.
	Syncs uint64
	// Rejected counts how often a message or an entry was discarded because it
	// was invalid or exceeded a limit.
	Rejected uint64
}

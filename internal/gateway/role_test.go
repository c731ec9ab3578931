package gateway

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/internal/peerload"
)

// rostersOf returns the rosters of the nodes of one failure domain, without those in lost, whose
// messages do not arrive. Every tenth node has more processor capacity than the rest.
func rostersOf(t *testing.T, nodes int, lost map[string]bool) map[string]*roster {
	t.Helper()
	var batch follow.Batch
	for i := range nodes {
		entry := nodeEntry{Addr: fmt.Sprintf("10.0.%d.%d:7", i/250, i%250+1), Domain: "d0", MilliCores: 192}
		if i%10 == 3 {
			entry.MilliCores = 800
		}
		value, err := json.Marshal(entry)
		must.NoError(t, err)
		batch.Records = append(batch.Records, follow.Record{Key: fmt.Sprint("n", i), Value: value})
	}
	rosters := make(map[string]*roster)
	for i := range nodes {
		name := fmt.Sprint("n", i)
		if lost[name] {
			continue
		}
		r := newRoster(name, nodeEntry{Domain: "d0"}, noTopic{}, func([]peerload.Peer) {}, func(other string) bool { return !lost[other] }, zerolog.Nop())
		r.Apply(batch)
		rosters[name] = r
	}
	return rosters
}

func rolesOf(t *testing.T, nodes int, lost map[string]bool) map[string]peerload.Role {
	t.Helper()
	roles := make(map[string]peerload.Role)
	for name, r := range rostersOf(t, nodes, lost) {
		roles[name] = r.role()
	}
	return roles
}

// TestRoles checks that two nodes of a failure domain collect and two are standbys, those with the
// most processor capacity first, and that all others report to the collectors. If these are lost,
// the standbys take over.
func TestRoles(t *testing.T) {
	lost := make(map[string]bool)
	for step := range 3 {
		roles := rolesOf(t, 40, lost)
		var collect, standby []string
		for name, role := range roles {
			switch {
			case role.Collects:
				collect = append(collect, name)
				test.Len(t, domainReaders-1, role.Collectors)
			case role.StandsBy:
				standby = append(standby, name)
				test.Len(t, domainReaders, role.Collectors)
			default:
				test.Len(t, domainReaders, role.Collectors)
			}
		}
		must.Len(t, domainReaders, collect)
		must.Len(t, domainStandbys, standby)
		for _, name := range collect {
			test.True(t, step == 2 || name[len(name)-1] == '3', test.Sprint("the nodes with the most capacity come first: ", name))
			lost[name] = true
		}
	}
}

// TestRoleOfUnlistedNode checks that a node whose entry is not listed yet sends its loads to all
// nodes itself.
func TestRoleOfUnlistedNode(t *testing.T) {
	r, _ := rosterWith(t, "stranger", 30)
	test.Eq(t, peerload.Role{}, r.role())
}

// TestRootReaders checks that two nodes of a large system read the registry from the store, that all
// others obtain it from these two, and that standbys take over from lost ones.
func TestRootReaders(t *testing.T) {
	lost := make(map[string]bool)
	for step := range 3 {
		readsStore := 0
		sources := make(map[netip.AddrPort]bool)
		last := ""
		for name, r := range rostersOf(t, 60, lost) {
			addrs := r.rootReaders()
			for _, addr := range addrs {
				sources[addr] = true
			}
			if len(addrs) == 0 {
				readsStore++
			} else {
				test.Len(t, rootReaders, addrs)
			}
			if r.rootCandidate() && len(addrs) == 0 {
				last = name
			}
		}
		test.LessEq(t, rootReaders+rootStandbys-step, readsStore)
		test.MapLen(t, min(rootReaders, rootReaders+rootStandbys-step), sources, test.Sprint(step))
		lost[last] = true
	}
	for name, r := range rostersOf(t, 7, nil) {
		test.SliceEmpty(t, r.rootReaders(), test.Sprint(name, ": a small system"))
	}
}

// TestStoreStandbys checks that of a domain of a large system two nodes read the store, four read it in place of
// these, and the others leave it to them, in a small one none, and that standbys replace lost nodes.
func TestStoreStandbys(t *testing.T) {
	lost := make(map[string]bool)
	for range 3 {
		readers, standbys := 0, 0
		asked := make(map[netip.AddrPort]bool)
		last := ""
		for name, r := range rostersOf(t, 60, lost) {
			addrs, isStandby := r.standbys()
			for _, addr := range addrs {
				asked[addr] = true
			}
			if _, isReader := r.readers(); isReader {
				readers++
				last = name
				test.False(t, isStandby)
			}
			if isStandby {
				standbys++
				test.Len(t, storeStandbys-1, addrs)
			}
		}
		test.Eq(t, domainReaders, readers)
		test.Eq(t, storeStandbys, standbys)
		test.MapLen(t, storeStandbys, asked)
		lost[last] = true
	}
}

// TestWhoReadsStore checks which nodes spare the store, and from where a node that starts may read the
// configuration, depending on what it knows of the others and on its age.
func TestWhoReadsStore(t *testing.T) {
	spare := make(map[int]int)
	for _, nodes := range []int{7, 60} {
		for name, r := range rostersOf(t, nodes, nil) {
			n := &Node{roster: r, peers: &peerload.Exchange{Table: peerload.NewTable()}}
			boot := testBoot(t)
			boot.Name = name
			n.boot.Store(boot)
			if n.sparesStore() {
				spare[nodes]++
			}
			n.started = n.clock.Now()
			test.Eq(t, nodes == 7 || r.readerCandidate(), n.mayReadConfig(), test.Sprint(name, " of ", nodes))
			n.started = n.clock.Now().Add(-configTimeout - maxConfigStagger)
			test.True(t, n.mayReadConfig())
			test.Eq(t, nodes == 7, len(r.listedReaders()) == 0)
		}
	}
	test.Eq(t, map[int]int{60: 60 - domainReaders - storeStandbys}, spare)

	starting := &Node{roster: newRoster("n", nodeEntry{}, noTopic{}, nil, nil, zerolog.Nop())}
	starting.boot.Store(testBoot(t))
	starting.started = starting.clock.Now()
	test.False(t, starting.mayReadConfig(), test.Sprint("the list of nodes comes first"))
	test.True(t, starting.mayReadNodes())
	starting.started = starting.clock.Now().Add(-2 * listTimeout)
	test.True(t, starting.mayReadConfig())
}

// TestStartWithoutListSparesStore checks that a node that has no list of nodes yet, as the store is busy with the
// starts of all, doesn't take itself for a node of a small system, which reads everything from the store.
func TestStartWithoutListSparesStore(t *testing.T) {
	starting := &Node{roster: newRoster("n", nodeEntry{}, noTopic{}, nil, nil, zerolog.Nop())}
	starting.boot.Store(testBoot(t))
	starting.cacheTracker = &cacheTracker{node: starting}
	starting.started = starting.clock.Now().Add(-3 * time.Second)
	test.False(t, starting.mayReadConfig())
	test.False(t, starting.mayReadRegistry())
}

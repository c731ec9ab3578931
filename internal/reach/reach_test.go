package reach

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

const service = "models"

func targets(count int) []Target {
	list := make([]Target, count)
	for i := range list {
		list[i] = Target{Addr: fmt.Sprint("e", i), Domain: fmt.Sprint("d", i%3)}
	}
	return list
}

// fleet is a simulated service whose endpoints are dead, or behind a partition.
type fleet struct {
	*Tracker
	targets     []Target
	dead        map[string]bool
	partitioned bool
	now         time.Time
}

func (f *fleet) dial(addr string) {
	if f.partitioned || f.dead[addr] {
		f.RecordFailure(service, addr, len(f.targets), f.now)
		return
	}
	f.RecordSuccess(service, f.now)
}

// probe carries out the rounds that are due.
func (f *fleet) probe() {
	for {
		round, due := f.BeginRound(f.now)
		if !due {
			return
		}
		chosen := f.Targets(round, f.targets)
		for _, target := range chosen {
			f.dial(target.Addr)
		}
		f.EndRound(round, len(chosen), f.now)
	}
}

func newFleet(endpoints int, dead ...string) *fleet {
	f := &fleet{Tracker: &Tracker{}, targets: targets(endpoints), dead: make(map[string]bool), now: time.Unix(0, 0)}
	for _, addr := range dead {
		f.dead[addr] = true
	}
	return f
}

func TestPartitionIsFoundAfterTwoEndpointsAndItsProbes(t *testing.T) {
	f := newFleet(9)
	f.partitioned = true
	f.dial("e0")
	f.probe()
	must.Eq(t, Reachable, f.State(service))
	f.dial("e0") // the same endpoint again
	f.probe()
	must.Eq(t, Reachable, f.State(service))
	f.dial("e1")
	must.Eq(t, Suspected, f.State(service))
	f.probe()
	must.Eq(t, Unreachable, f.State(service))
	must.Eq(t, []string{service}, f.Unreachable())
}

func TestDeadEndpointsAreNoPartition(t *testing.T) {
	for endpoints := 2; endpoints <= 9; endpoints++ {
		f := newFleet(endpoints, "e0", "e1")
		f.dial("e0")
		f.dial("e1")
		f.probe()
		want := Reachable
		if endpoints == 2 { // can't be told apart without other nodes
			want = Unreachable
		}
		test.Eq(t, want, f.State(service), test.Sprint(endpoints, " endpoints"))
	}
}

func TestOneEndpointIsEnoughIfThereIsNoOther(t *testing.T) {
	f := newFleet(1)
	f.partitioned = true
	f.dial("e0")
	f.probe()
	must.Eq(t, Unreachable, f.State(service))
}

func TestProbesAvoidEndpointsThatFailedAndSpreadOverDomains(t *testing.T) {
	f := newFleet(9)
	f.partitioned = true
	f.dial("e0")
	f.dial("e1")
	round, due := f.BeginRound(f.now)
	must.True(t, due)
	chosen := f.Targets(round, f.targets)
	must.Len(t, probesPerRound, chosen)
	domains := make(map[string]bool)
	for _, target := range chosen {
		test.NotEq(t, "e0", target.Addr)
		test.NotEq(t, "e1", target.Addr)
		domains[target.Domain] = true
	}
	test.MapLen(t, 3, domains)
	_, due = f.BeginRound(f.now)
	test.False(t, due, test.Sprint("one round at a time"))
}

func TestPathIsBackWithinOneRecoveryInterval(t *testing.T) {
	f := newFleet(9)
	f.partitioned = true
	var changes []Change
	f.OnChange = func(c Change) { changes = append(changes, c) }
	f.dial("e0")
	f.dial("e1")
	f.probe()
	f.partitioned = false
	f.probe()
	must.Eq(t, Unreachable, f.State(service), must.Sprint("no probe is due yet"))
	f.now = f.now.Add(recoveryInterval)
	f.probe()
	must.Eq(t, Reachable, f.State(service))
	must.Len(t, 3, changes)
	test.Eq(t, recoveryInterval, changes[2].Lasted)
}

func TestFailuresFarApartAreNoPartition(t *testing.T) {
	f := newFleet(9)
	f.partitioned = true
	f.dial("e0")
	f.now = f.now.Add(failureLifetime + time.Millisecond)
	f.dial("e1")
	test.Eq(t, Reachable, f.State(service))
}

func TestServiceWithoutEndpointsIsNotUnreachable(t *testing.T) {
	f := newFleet(2)
	f.partitioned = true
	f.dial("e0")
	f.dial("e1")
	f.targets = nil
	f.probe()
	test.Eq(t, Reachable, f.State(service))
}

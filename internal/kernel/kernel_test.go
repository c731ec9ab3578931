package kernel

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// fake is a service that records its calls in events.
type fake struct {
	name     string
	needs    []string
	events   *[]string
	startErr error
	runErr   error
	returns  bool // Run returns nil at once
}

func (f *fake) Name() string    { return f.name }
func (f *fake) Needs() []string { return f.needs }

func (f *fake) Start(context.Context, *Kernel) error {
	*f.events = append(*f.events, "start "+f.name)
	return f.startErr
}

func (f *fake) Run(ctx context.Context) error {
	if f.runErr != nil || f.returns {
		return f.runErr
	}
	<-ctx.Done()
	return ctx.Err()
}

func (f *fake) Stop(context.Context) error {
	*f.events = append(*f.events, "stop "+f.name)
	return nil
}

func newKernel(t *testing.T, services ...*fake) (*Kernel, *[]string) {
	t.Helper()
	events := &[]string{}
	k := New(time.Second)
	for _, s := range services {
		s.events = events
		must.NoError(t, k.Register(s))
	}
	return k, events
}

func TestRunStartsByNeedAndStopsInReverse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, events := newKernel(t, &fake{name: "entry", needs: []string{"peers", "config"}}, &fake{name: "config", needs: []string{"peers"}}, &fake{name: "peers"})
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		must.NoError(t, k.Run(ctx))
		must.Eq(t, []string{"start peers", "start config", "start entry", "stop entry", "stop config", "stop peers"}, *events)
	})
}

func TestRunRefusesBadNeeds(t *testing.T) {
	k, events := newKernel(t, &fake{name: "a", needs: []string{"b"}})
	var missing *MissingError
	must.True(t, errors.As(k.Run(context.Background()), &missing))
	must.Eq(t, MissingError{Name: "b", NeededBy: "a"}, *missing)
	must.SliceEmpty(t, *events)

	k, events = newKernel(t, &fake{name: "a", needs: []string{"b"}}, &fake{name: "b", needs: []string{"a"}})
	var cycle *CycleError
	must.True(t, errors.As(k.Run(context.Background()), &cycle))
	must.Eq(t, []string{"a", "b", "a"}, cycle.Names)
	must.SliceEmpty(t, *events)
}

func TestRunUndoesAFailedStart(t *testing.T) {
	boom := errors.New("boom")
	k, events := newKernel(t, &fake{name: "a"}, &fake{name: "b", needs: []string{"a"}, startErr: boom})
	must.ErrorIs(t, k.Run(context.Background()), boom)
	must.Eq(t, []string{"start a", "start b", "stop a"}, *events)
}

func TestRunStopsAllWhenOneFails(t *testing.T) {
	boom := errors.New("boom")
	k, events := newKernel(t, &fake{name: "a"}, &fake{name: "b", needs: []string{"a"}, runErr: boom})
	must.ErrorIs(t, k.Run(context.Background()), boom)
	must.Eq(t, []string{"start a", "start b", "stop b", "stop a"}, *events)
}

// A service that returns early stops the node, which would otherwise run without it.
func TestRunStopsAllWhenOneReturns(t *testing.T) {
	k, events := newKernel(t, &fake{name: "a"}, &fake{name: "b", needs: []string{"a"}, returns: true})
	must.ErrorIs(t, k.Run(context.Background()), errReturned)
	must.Eq(t, []string{"start a", "start b", "stop b", "stop a"}, *events)
}

func TestLookup(t *testing.T) {
	k, _ := newKernel(t, &fake{name: "a"})
	s, err := Lookup[*fake](k, "a")
	must.NoError(t, err)
	must.Eq(t, "a", s.name)
	_, err = Lookup[interface{ Absent() }](k, "a")
	must.ErrorContains(t, err, "wanted type")
	_, err = Lookup[*fake](k, "z")
	must.ErrorContains(t, err, `no service named "z"`)
	must.ErrorContains(t, k.Register(&fake{name: "a"}), "taken")
}

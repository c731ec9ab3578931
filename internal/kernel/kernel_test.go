package kernel

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// fakeService is a service that records its calls in events.
type fakeService struct {
	name     string
	needs    []string
	events   *[]string
	startErr error
	runErr   error
	returns  bool // Run returns nil at once
}

func (f *fakeService) Name() string    { return f.name }
func (f *fakeService) Needs() []string { return f.needs }

func (f *fakeService) Start(context.Context, *Kernel) error {
	*f.events = append(*f.events, "start "+f.name)
	return f.startErr
}

func (f *fakeService) Run(ctx context.Context) error {
	if f.runErr != nil || f.returns {
		return f.runErr
	}
	<-ctx.Done()
	return ctx.Err()
}

func (f *fakeService) Stop(context.Context) error {
	*f.events = append(*f.events, "stop "+f.name)
	return nil
}

func newKernel(t *testing.T, services ...*fakeService) (*Kernel, *[]string) {
	t.Helper()
	events := &[]string{}
	k := New(time.Second)
	for _, s := range services {
		s.events = events
		must.NoError(t, k.Register(s))
	}
	return k, events
}

func TestRunStartsInDependencyOrderAndStopsInReverse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, events := newKernel(t, &fakeService{name: "entry", needs: []string{"peers", "config"}}, &fakeService{name: "config", needs: []string{"peers"}}, &fakeService{name: "peers"})
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		must.NoError(t, k.Run(ctx))
		must.Eq(t, []string{"start peers", "start config", "start entry", "stop entry", "stop config", "stop peers"}, *events)
	})
}

func TestRunFailsOnInvalidDependencies(t *testing.T) {
	k, events := newKernel(t, &fakeService{name: "a", needs: []string{"b"}})
	var missing *MissingError
	must.True(t, errors.As(k.Run(context.Background()), &missing))
	must.Eq(t, MissingError{Name: "b", NeededBy: "a"}, *missing)
	must.SliceEmpty(t, *events)

	k, events = newKernel(t, &fakeService{name: "a", needs: []string{"b"}}, &fakeService{name: "b", needs: []string{"a"}})
	var cycle *CycleError
	must.True(t, errors.As(k.Run(context.Background()), &cycle))
	must.Eq(t, []string{"a", "b", "a"}, cycle.Names)
	must.SliceEmpty(t, *events)
}

func TestFailedStartStopsStartedServices(t *testing.T) {
	boom := errors.New("boom")
	k, events := newKernel(t, &fakeService{name: "a"}, &fakeService{name: "b", needs: []string{"a"}, startErr: boom})
	must.ErrorIs(t, k.Run(context.Background()), boom)
	must.Eq(t, []string{"start a", "start b", "stop a"}, *events)
}

func TestRunStopsAllWhenOneFails(t *testing.T) {
	boom := errors.New("boom")
	k, events := newKernel(t, &fakeService{name: "a"}, &fakeService{name: "b", needs: []string{"a"}, runErr: boom})
	must.ErrorIs(t, k.Run(context.Background()), boom)
	must.Eq(t, []string{"start a", "start b", "stop b", "stop a"}, *events)
}

// A service that returns early stops the node, which would otherwise run without it.
func TestRunStopsAllWhenOneReturns(t *testing.T) {
	k, events := newKernel(t, &fakeService{name: "a"}, &fakeService{name: "b", needs: []string{"a"}, returns: true})
	must.ErrorIs(t, k.Run(context.Background()), errReturned)
	must.Eq(t, []string{"start a", "start b", "stop b", "stop a"}, *events)
}

func TestLookup(t *testing.T) {
	k, _ := newKernel(t, &fakeService{name: "a"})
	s, err := Lookup[*fakeService](k, "a")
	must.NoError(t, err)
	must.Eq(t, "a", s.name)
	_, err = Lookup[interface{ Absent() }](k, "a")
	must.ErrorContains(t, err, "expected type")
	_, err = Lookup[*fakeService](k, "z")
	must.ErrorContains(t, err, `no service named "z"`)
	must.ErrorContains(t, k.Register(&fakeService{name: "a"}), "taken")
}

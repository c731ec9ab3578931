// Package kernel manages the life cycle of a node's services: they are registered and
// looked up by name, started in the order of their dependencies and stopped in reverse.
//
// The kernel does not depend on what a service does. A missing dependency, a dependency
// cycle and a duplicate name are errors before any service starts.
package kernel

import (
	"context"
	"errors"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
)

// Service is a named part of a node.
type Service interface {
	// Name returns the service's unique name.
	Name() string
	// Needs returns the names of the services that must start before this one.
	Needs() []string
	// Start looks up the dependencies and initializes the service. It returns as soon as
	// the initialization is complete.
	Start(ctx context.Context, k *Kernel) error
}

// Runner is a service with a main loop. Run returns when ctx is done; returning earlier
// stops the node, with or without an error.
type Runner interface {
	Run(ctx context.Context) error
}

// Stopper is a service with work to complete on shutdown. Stop is called before the
// context of its Run is cancelled. At that time, Stop of every service that depends on it
// has returned and the context of that service's Run is cancelled, though that Run may not
// have returned. Stop must return once ctx is done.
type Stopper interface {
	Stop(ctx context.Context) error
}

// Kernel is a set of services. The zero value is not usable; see New.
type Kernel struct {
	services    map[string]Service
	names       []string // in order of registration, which makes the start order deterministic
	started     []Service
	stopTimeout time.Duration
}

// New returns an empty kernel. The context passed to all Stop methods is cancelled
// stopTimeout after the shutdown begins.
func New(stopTimeout time.Duration) *Kernel {
	return &Kernel{services: make(map[string]Service), stopTimeout: stopTimeout}
}

// Register adds a service. It fails with a NameTakenError if the name is in use.
func (k *Kernel) Register(s Service) error {
	name := s.Name()
	if _, taken := k.services[name]; taken {
		return &NameTakenError{Name: name}
	}
	k.services[name] = s
	k.names = append(k.names, name)
	return nil
}

// Lookup returns the service with the given name as a T. It fails with a MissingError
// if there is none, and with a TypeError if it is not a T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	var zero T
	s, ok := k.services[name]
	if !ok {
		return zero, &MissingError{Name: name}
	}
	t, ok := s.(T)
	if !ok {
		return zero, &TypeError{Name: name}
	}
	return t, nil
}

// Run starts all services, runs them until ctx is done or one of them returns, and stops
// them in reverse order. It returns nil if ctx ended the run and no Stop method
// returned an error.
func (k *Kernel) Run(ctx context.Context) error {
	order, err := k.order()
	if err != nil {
		return err
	}
	if err := k.start(ctx, order); err != nil {
		return errors.Join(err, k.stopStarted())
	}
	return k.runAll(ctx)
}

func (k *Kernel) start(ctx context.Context, order []Service) error {
	for _, s := range order {
		if err := s.Start(ctx, k); err != nil {
			return eris.Wrapf(err, "start service %s", s.Name())
		}
		k.started = append(k.started, s)
	}
	return nil
}

// stopStarted stops the services that had started before another failed to start.
func (k *Kernel) stopStarted() error {
	ctx, cancel := context.WithTimeout(context.Background(), k.stopTimeout)
	defer cancel()
	var errs []error
	for i := len(k.started) - 1; i >= 0; i-- {
		errs = append(errs, stop(ctx, k.started[i]))
	}
	return errors.Join(errs...)
}

// runAll runs the services in a run group. The group interrupts its actors one after the
// other in the order in which they were added, so the services are added in reverse start
// order.
func (k *Kernel) runAll(ctx context.Context) error {
	var group run.Group
	stopCtx, cancelStop := context.WithCancel(context.Background())
	defer cancelStop()
	k.addContextWait(ctx, &group, stopCtx, cancelStop)
	var errs []error
	for i := len(k.started) - 1; i >= 0; i-- {
		k.addService(&group, k.started[i], stopCtx, &errs)
	}
	err := group.Run()
	if errors.Is(err, errStopped) {
		err = nil
	}
	return errors.Join(append(errs, err)...)
}

var (
	errStopped  = errors.New("stopped")
	errReturned = errors.New("returned before it was stopped")
)

// addContextWait adds an actor that returns when ctx is done. Its interrupt function starts
// the stop timeout.
func (k *Kernel) addContextWait(ctx context.Context, group *run.Group, stopCtx context.Context, cancelStop context.CancelFunc) {
	wait, release := context.WithCancel(ctx)
	execute := func() error {
		<-wait.Done()
		return errStopped
	}
	interrupt := func(error) {
		release()
		timer := time.AfterFunc(k.stopTimeout, cancelStop)
		context.AfterFunc(stopCtx, func() { timer.Stop() })
	}
	group.Add(execute, interrupt)
}

func (k *Kernel) addService(group *run.Group, s Service, stopCtx context.Context, errs *[]error) {
	runCtx, cancel := context.WithCancel(context.Background())
	execute := func() error {
		r, ok := s.(Runner)
		if !ok {
			<-runCtx.Done()
			return nil
		}
		err := r.Run(runCtx)
		if runCtx.Err() != nil {
			return nil
		}
		if err == nil {
			err = errReturned
		}
		return eris.Wrapf(err, "run service %s", s.Name())
	}
	interrupt := func(error) {
		if err := stop(stopCtx, s); err != nil {
			*errs = append(*errs, err)
		}
		cancel()
	}
	group.Add(execute, interrupt)
}

func stop(ctx context.Context, s Service) error {
	st, ok := s.(Stopper)
	if !ok {
		return nil
	}
	if err := st.Stop(ctx); err != nil {
		return eris.Wrapf(err, "stop service %s", s.Name())
	}
	return nil
}

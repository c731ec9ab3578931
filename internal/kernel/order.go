package kernel

import (
	"fmt"
	"strings"
)

// MissingError reports that no service is registered under the name.
type MissingError struct {
	Name     string
	NeededBy string // empty if Lookup failed
}

// Error implements error.
func (e *MissingError) Error() string {
	if e.NeededBy == "" {
		return fmt.Sprintf("no service named %q", e.Name)
	}
	return fmt.Sprintf("service %q needs %q, which is not registered", e.NeededBy, e.Name)
}

// CycleError reports a dependency cycle. Names lists the services visited by the search. The
// last one occurs twice, and the cycle lies between its occurrences.
type CycleError struct{ Names []string }

// Error implements error.
func (e *CycleError) Error() string {
	return "services have a dependency cycle: " + strings.Join(e.Names, " -> ")
}

// NameTakenError reports that a name was registered twice.
type NameTakenError struct{ Name string }

// Error implements error.
func (e *NameTakenError) Error() string {
	return fmt.Sprintf("service name %q is taken", e.Name)
}

// TypeError reports that a service does not have the type passed to Lookup.
type TypeError struct{ Name string }

// Error implements error.
func (e *TypeError) Error() string {
	return fmt.Sprintf("service %q does not have the expected type", e.Name)
}

// visitState is the state of a service in the depth-first search.
type visitState int

const (
	unvisited visitState = iota
	visiting
	visited
)

// sorter sorts services topologically by their dependencies, depth first.
type sorter struct {
	services map[string]Service
	states   map[string]visitState
	path     []string
	order    []Service
}

// order returns the services with each one after all of its dependencies.
func (k *Kernel) order() ([]Service, error) {
	s := &sorter{services: k.services, states: make(map[string]visitState, len(k.names))}
	for _, name := range k.names {
		if err := s.visit(name, ""); err != nil {
			return nil, err
		}
	}
	return s.order, nil
}

func (s *sorter) visit(name, neededBy string) error {
	svc, ok := s.services[name]
	if !ok {
		return &MissingError{Name: name, NeededBy: neededBy}
	}
	s.path = append(s.path, name)
	defer func() { s.path = s.path[:len(s.path)-1] }()
	switch s.states[name] {
	case visited:
		return nil
	case visiting:
		return &CycleError{Names: append([]string(nil), s.path...)}
	}
	s.states[name] = visiting
	for _, need := range svc.Needs() {
		if err := s.visit(need, name); err != nil {
			return err
		}
	}
	s.states[name] = visited
	s.order = append(s.order, svc)
	return nil
}

package experiment

import (
	"fmt"
	"slices"
	"time"

	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/settings"
)

const (
	maxEngines = 256
	// maxRequests is the maximum number of callers of one run, which are kept in memory.
	maxRequests = 1_000_000
)

// checks collects problems that a JSON schema can't express.
type checks struct{ problems settings.Problems }

func (c *checks) add(path, format string, args ...any) {
	c.problems = append(c.problems, settings.Problem{Code: result.ExperimentConflict, Path: path, Message: fmt.Sprintf(format, args...)})
}

// unique adds a problem for each name that occurs before in names. path is a format for its index.
func (c *checks) unique(path string, names []string) {
	for i, name := range names {
		if slices.Contains(names[:i], name) {
			c.add(fmt.Sprintf(path, i), "%q is used more than once", name)
		}
	}
}

// check returns the problems that the schema doesn't detect.
func (f *File) check() settings.Problems {
	c := &checks{}
	c.unique("/fleet/engines/%d/name", names(f.Fleet.Engines, func(e Engine) string { return e.Name }))
	c.unique("/load/%d/class", names(f.Load, func(k Class) string { return k.Name }))
	c.unique("/policies/%d/name", names(f.Policies, func(p Policy) string { return p.Name }))
	f.checkSizes(c)
	for i := range f.Load {
		f.Load[i].check(c, i)
	}
	for i, p := range f.Policies {
		if p.StatedMemoryTokens != nil && p.MemoryAdmission != nil && !*p.MemoryAdmission {
			c.add(fmt.Sprintf("/policies/%d/stated_memory_tokens", i), "has no effect when memory_admission is false")
		}
	}
	for i := range f.Faults {
		f.checkFault(c, i)
	}
	return c.problems
}

func names[T any](list []T, name func(T) string) []string {
	all := make([]string, len(list))
	for i, one := range list {
		all[i] = name(one)
	}
	return all
}

func (f *File) checkSizes(c *checks) {
	engines, requests := 0, 0.0
	for _, e := range f.Fleet.Engines {
		engines += e.Count
	}
	for _, k := range f.Load {
		requests += k.RequestsPerSecond * time.Duration(f.Length).Seconds()
	}
	if engines > maxEngines {
		c.add("/fleet/engines", "%d engines in total; the maximum is %d", engines, maxEngines)
	}
	if requests > maxRequests {
		c.add("/length", "%.0f requests in a run; the maximum is %d", requests, maxRequests)
	}
}

func (k *Class) check(c *checks, i int) {
	if k.Deadline < k.Objective {
		c.add(fmt.Sprintf("/load/%d/deadline", i), "is shorter than the objective")
	}
	if k.Accounts > k.Sessions {
		c.add(fmt.Sprintf("/load/%d/accounts", i), "is greater than the number of sessions")
	}
	if k.AccountTokens > 0 && k.Accounts == 0 {
		c.add(fmt.Sprintf("/load/%d/account_tokens", i), "requires accounts")
	}
}

func (f *File) checkFault(c *checks, i int) {
	fault, path := &f.Faults[i], fmt.Sprintf("/faults/%d/", i)
	at := slices.IndexFunc(f.Fleet.Engines, func(e Engine) bool { return e.Name == fault.Engine })
	switch {
	case at < 0:
		c.add(path+"engine", "the fleet has no engines %q", fault.Engine)
	case fault.Number >= f.Fleet.Engines[at].Count:
		c.add(path+"number", "is out of range: there are %d engines %q, counted from 0", f.Fleet.Engines[at].Count, fault.Engine)
	}
	if fault.At >= f.Length {
		c.add(path+"at", "is not within the length of the experiment")
	}
	if (fault.Factor > 0) != (fault.Kind == slow) {
		c.add(path+"factor", "is required for faults of kind slow, and not allowed for others")
	}
	for _, other := range f.Faults[:i] {
		if fault.Kind == other.Kind && fault.Engine == other.Engine && fault.Number == other.Number &&
			fault.At < other.At+other.For && other.At < fault.At+fault.For {
			c.add(path+"at", "overlaps another fault of the same kind and engine")
		}
	}
}

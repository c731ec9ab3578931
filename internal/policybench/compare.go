package policybench

import "sync"

// Case specifies one run of the benchmark.
type Case struct {
	Profile Profile
	Policy  Policy
	Fault   Fault
}

// Name returns the names of profile, policy and fault, as "profile / policy / fault".
func (c Case) Name() string {
	return c.Profile.Name + " / " + c.Policy.Name + " / " + string(c.Fault)
}

// maxParallelRuns is the maximum number of concurrent runs.
const maxParallelRuns = 4

// RunAll runs the cases concurrently with the same seed and returns their results in the order of
// the cases.
func RunAll(cases []Case, seed uint64, h Horizon) []Result {
	out := make([]Result, len(cases))
	slots := make(chan struct{}, maxParallelRuns)
	var wg sync.WaitGroup
	for i, c := range cases {
		wg.Go(func() {
			slots <- struct{}{}
			out[i] = Run(c, seed, h)
			<-slots
		})
	}
	wg.Wait()
	return out
}

// ComparisonCases returns the cases to compare for each profile: every policy without faults, then
// DaemonPolicy with each fault.
func ComparisonCases(profiles ...Profile) []Case {
	var cases []Case
	for _, p := range profiles {
		for _, pol := range Policies {
			cases = append(cases, Case{p, pol, NoFault})
		}
		for _, f := range Faults {
			cases = append(cases, Case{p, DaemonPolicy, f})
		}
	}
	return cases
}

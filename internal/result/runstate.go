package result

// RunState is the certainty about whether a failed request ran.
type RunState string

const (
	// NotRun means that the request did not run; sending it again is safe.
	NotRun RunState = "not_run"
	// MayHaveRun means that it is not known whether the request ran; sending a
	// non-idempotent request again may run it twice.
	MayHaveRun RunState = "may_have_run"
	// Ran means that the request ran, but its answer is not available.
	Ran RunState = "ran"
)

// Valid reports whether s is one of the three run states.
func (s RunState) Valid() bool {
	switch s {
	case NotRun, MayHaveRun, Ran:
		return true
	}
	return false
}

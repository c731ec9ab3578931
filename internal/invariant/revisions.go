package invariant

import (
	"errors"
	"fmt"
)

// Revisions checks that the configuration of a process never goes back to an older revision, and
// that a node that has applied the revision of an accepted change has that change or a newer one.
func Revisions(accepted []Accepted, readings []Reading) error {
	var errs []error
	last := make(map[string]*Reading)
	for i := range readings {
		r := &readings[i]
		if before := last[r.Process]; before != nil {
			errs = append(errs, checkMonotonic(before, r))
		}
		last[r.Process] = r
		errs = append(errs, checkAccepted(accepted, r))
	}
	return errors.Join(errs...)
}

// checkMonotonic checks that no revision decreases between two readings of one process.
func checkMonotonic(before, after *Reading) error {
	var errs []error
	if after.Applied < before.Applied {
		errs = append(errs, fmt.Errorf("%s: applied %d after %d", after.Process, after.Applied, before.Applied))
	}
	for object, revision := range before.Revisions {
		now, ok := after.Revisions[object]
		if ok && now < revision {
			errs = append(errs, fmt.Errorf("%s: %s at revision %d after %d", after.Process, object, now, revision))
		}
	}
	return errors.Join(errs...)
}

// checkAccepted reports accepted changes that a node has applied but that its configuration lacks.
func checkAccepted(accepted []Accepted, r *Reading) error {
	var errs []error
	for object, newest := range newestAccepted(accepted, r.Applied) {
		now, ok := r.Revisions[object]
		if !newest.Delete && (!ok || now < newest.Revision) {
			errs = append(errs, fmt.Errorf("%s: %s at revision %d, but %d was accepted", r.Process, object, now, newest.Revision))
		}
	}
	return errors.Join(errs...)
}

// newestAccepted returns the last accepted change of each object, up to the applied revision.
func newestAccepted(accepted []Accepted, applied int64) map[string]Accepted {
	newest := make(map[string]Accepted)
	for _, a := range accepted {
		if a.Revision <= applied && a.Revision > newest[a.Object].Revision {
			newest[a.Object] = a
		}
	}
	return newest
}

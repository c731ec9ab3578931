package peerload

import "time"

// firstOfEach returns the first element of each key, at most limit of them. It reuses the memory of list.
func firstOfEach[T any, K comparable](list []T, limit int, key func(*T) K) []T {
	seen := make(map[K]bool, len(list))
	kept := list[:0]
	for i := range list {
		k := key(&list[i])
		if !seen[k] {
			seen[k] = true
			kept = append(kept, list[i])
		}
	}
	clear(list[len(kept):])
	return kept[:min(len(kept), limit)]
}

// aged returns copies of the elements with their ages, in milliseconds, increased by elapsed, without those
// that are older than lifetime then. Reports made after the time that the ages refer to have the age 0.
func aged[T any](list []T, elapsed, lifetime time.Duration, ageMs func(*T) *int64) []T {
	var result []T
	for i := range list {
		result = append(result, list[i])
		last := len(result) - 1
		age := ageMs(&result[last])
		*age = max(*age+elapsed.Milliseconds(), 0)
		if *age > lifetime.Milliseconds() {
			result = result[:last]
		}
	}
	return result
}

// ageAt returns the age of a message or report of the given time. Some arrive while a message for now is
// being made; those are not older than 0, since receivers reject negative ages.
func ageAt(now, received time.Time) time.Duration { return max(now.Sub(received), 0) }

// peerReports returns the reports of one kind in the peers' own digests, with their ages increased by age. The
// caller must hold t.mu.
func peerReports[T any](t *Table, now time.Time, of func(*Digest) []T, age func([]T, time.Duration) []T) (list []T) {
	for _, p := range t.peers {
		list = append(list, age(of(&p.digest), ageAt(now, p.at))...)
	}
	return list
}

// domainReports is peerReports for the loads of other failure domains.
func domainReports[T any](t *Table, now time.Time, of func(*DomainLoad) []T, age func([]T, time.Duration) []T) (list []T) {
	for _, d := range t.domainLoads {
		list = append(list, age(of(&d.load), ageAt(now, d.at))...)
	}
	return list
}

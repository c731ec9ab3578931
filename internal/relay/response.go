package relay

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/follow"
)

// check validates a response to a request from an offset. Ages that are negative or exceed the range of
// durations would make the copy appear more recent than it is. Offsets out of range would cause records to be
// skipped.
func (r *recordsResponse) check(from int64, maxAge time.Duration) error {
	if r.AgeUS < 0 || r.Next < 0 || r.More && r.Next <= from {
		return eris.Errorf("invalid response: age %d µs, next offset %d", r.AgeUS, r.Next)
	}
	if r.AgeUS >= maxAge.Microseconds() {
		return eris.Wrapf(errStale, "age %d µs", r.AgeUS)
	}
	for i := range r.Records {
		if offset := r.Records[i].Offset; offset < from || offset >= r.Next {
			return eris.Errorf("record offset %d is not in [%d, %d)", offset, from, r.Next)
		}
	}
	return nil
}

// copyAge returns the age of a copy that a node stated in microseconds, which it rounds down.
func copyAge(us int64) time.Duration { return time.Duration(us+1) * time.Microsecond }

// page converts a checked response with complete records to a page.
func (r *recordsResponse) page() (follow.Page, error) {
	page := follow.Page{Next: r.Next, Age: copyAge(r.AgeUS), EraAge: time.Duration(r.EraAgeUS) * time.Microsecond}
	for i := range r.Records {
		record, err := r.Records[i].decompress()
		if err != nil {
			return follow.Page{}, err
		}
		page.Records = append(page.Records, record)
	}
	return page, nil
}

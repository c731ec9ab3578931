package relay

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/follow"
)

// page validates a response to a request from an offset and converts it to a page. Ages that are negative
// or exceed the range of durations would make the copy appear more recent than it is. Offsets out of range
// would cause records to be skipped.
func (r *recordsResponse) page(from int64, maxAge time.Duration) (follow.Page, error) {
	if r.AgeUS < 0 || r.Next < 0 || r.More && r.Next <= from {
		return follow.Page{}, eris.Errorf("invalid response: age %d µs, next offset %d", r.AgeUS, r.Next)
	}
	if r.AgeUS >= maxAge.Microseconds() {
		return follow.Page{}, eris.Wrapf(errStale, "age %d µs", r.AgeUS)
	}
	page := follow.Page{Next: r.Next, Age: time.Duration(r.AgeUS+1) * time.Microsecond}
	for i := range r.Records {
		if offset := r.Records[i].Offset; offset < from || offset >= r.Next {
			return follow.Page{}, eris.Errorf("record offset %d is not in [%d, %d)", offset, from, r.Next)
		}
		record, err := r.Records[i].decompress()
		if err != nil {
			return follow.Page{}, err
		}
		page.Records = append(page.Records, record)
	}
	return page, nil
}

package metastore

import (
	"net/http"
	"slices"
	"strings"
)

// Limits of a response: its size, and the number of records of a listing.
const (
	maxResponseBytes = 1 << 20
	maxItems         = 500
)

// item is the newest record of a key.
type item struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int64  `json:"offset"`
}

// page is a page of a listing.
type page struct {
	Items   []item `json:"items"`
	HasMore bool   `json:"has-more"`
	End     int64  `json:"end"`
}

// serveNewest lists the newest records of the keys after the one that the request names, as many as fit a response.
func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	result := page{Items: []item{}}
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	for key, n := range t.newest {
		if key > after || after == "" {
			result.Items = append(result.Items, item{key, n.value, n.offset})
		}
	}
	result.End = t.first + int64(len(t.records))
	s.mu.Unlock()
	slices.SortFunc(result.Items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	size := 0
	for i := range result.Items {
		if size += len(result.Items[i].Key) + len(result.Items[i].Value); i == maxItems || i > 0 && size > maxResponseBytes {
			result.Items, result.HasMore = result.Items[:i], true
			break
		}
	}
	writeJSON(w, result)
}

// firstFitting returns the first records that fit a response, at least one.
func firstFitting(records [][]byte) [][]byte {
	size := 0
	for i := range records {
		if size += lengthBytes + len(records[i]); i > 0 && size > maxResponseBytes {
			return records[:i]
		}
	}
	return records
}

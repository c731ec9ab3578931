package soak

import (
	"fmt"
	"slices"
	"strings"
)

const (
	// startEntries is the number of short entries of other writers that lie in the store before the nodes start. Long ones
	// lie there once each: how long a listing of megabytes takes depends on the host.
	startEntries  = 1000
	maxShortBytes = 1 << 10
)

// otherEntries are all forms of entries of other writers.
var otherEntries = slices.Concat(foreignEntries, oddEntries())

// oddEntries returns entries that are nested deeply, or have a number, port or address out of range. Their address is one at
// which nothing listens.
func oddEntries() []string {
	const engine = `{"service":"models","address":"127.0.0.1:1","zone":"north","version":"v1","slots":8,"state":"ready","cold-left-ms":0,` +
		`"models":[{"name":"m","version":1,"adapters":[]}],"seq":1}`
	var list []string
	for _, levels := range []int{100, 9998, 30_000} {
		for _, pair := range [][2]string{{"[", "]"}, {`{"x":`, "}"}} {
			deep := strings.Repeat(pair[0], levels) + "1" + strings.Repeat(pair[1], levels)
			list = append(list, deep, strings.Replace(engine, `"seq"`, `"x":`+deep+`,"seq"`, 1), strings.Replace(engine, `"adapters":[]`, `"adapters":`+deep, 1))
		}
	}
	for _, change := range [][2]string{
		{`"slots":8`, `"slots":1e400`}, {`"seq":1`, `"seq":99999999999999999999`}, {`"cold-left-ms":0`, `"cold-left-ms":1e400`}, {`"version":1,`, `"version":9223372036854775808,`},
		{":1\"", ":65537\""}, {":1\"", ":70000\""}, {":1\"", ":-1\""}, {":1\"", ":\""}, {":1\"", ":0001\""}, {"127.0.0.1:1", "[::1%lo]:1"}, {`"version":"v1",`, ""},
	} {
		list = append(list, strings.Replace(engine, change[0], change[1], 1))
	}
	return list
}

// putEntriesBeforeStart writes entries of other writers, for the first listing that each node reads.
func (w *world) putEntriesBeforeStart() {
	for i, entry := range otherEntries {
		w.site.Store.Put(registry, fmt.Sprint("before-", i), []byte(entry))
	}
	short := slices.DeleteFunc(slices.Clone(otherEntries), func(e string) bool { return len(e) > maxShortBytes })
	for i := range startEntries {
		w.site.Store.Put(registry, fmt.Sprint("short-", i), []byte(short[i%len(short)]))
	}
}

package relay

import (
	"cmp"
	"slices"

	"github.com/cherryward/cherryward/internal/follow"
)

// change is a record of a key at an offset.
type change struct {
	key    string
	offset int64
}

// changeList lists the changes of a copy by offset, so that a request for the latest ones needs not
// search all records: hundreds of nodes request the changes of thousands of records several times per
// second. Changes of keys that changed again remain until settle removes them. The zero value is
// ready for use.
type changeList struct {
	list     []change
	unsorted bool // settle must sort the list
}

func byOffset(a, b change) int {
	return cmp.Or(cmp.Compare(a.offset, b.offset), cmp.Compare(a.key, b.key))
}

// add adds a change. The list is valid again after settle.
func (l *changeList) add(key string, offset int64) {
	if n := len(l.list); n > 0 && l.list[n-1].offset >= offset {
		l.unsorted = true // the pages of a snapshot are ordered by key
	}
	l.list = append(l.list, change{key, offset})
}

// settle ends a series of additions. Once the changes that are not the latest of their key are more
// than half of the list, it removes them.
func (l *changeList) settle(latest map[string]follow.Record) {
	if l.unsorted {
		slices.SortFunc(l.list, byOffset)
		l.list = slices.Compact(l.list)
		l.unsorted = false
	}
	if len(l.list) > 2*len(latest) {
		l.list = slices.DeleteFunc(l.list, func(c change) bool { return latest[c.key].Offset != c.offset })
	}
}

// since returns the changes at or after an offset, ordered by offset, including those of keys that
// changed again.
func (l *changeList) since(from int64) []change {
	at, _ := slices.BinarySearchFunc(l.list, change{offset: from}, byOffset)
	return l.list[at:]
}

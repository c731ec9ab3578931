package origin

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/shoenig/test"
)

func keyNumber(i int) (k Key) {
	binary.BigEndian.PutUint64(k[:], uint64(i)+1)
	return k
}

func TestRecordsAreBoundedInTimeAndNumber(t *testing.T) {
	now := time.Unix(0, 0)
	table := NewTable(func() time.Time { return now }, func() time.Duration { return retention })
	o := Origin{Service: service, Release: "v1"}
	for i := range 2 * maxRecords {
		table.Add(keyNumber(i), o)
		table.Add(keyNumber(i), o)
	}
	test.LessEq(t, maxRecords, table.Len())
	_, ok := table.Find(keyNumber(0))
	test.False(t, ok)
	found, ok := table.Find(keyNumber(2*maxRecords - 1))
	test.True(t, ok)
	test.Eq(t, o, found)
	now = now.Add(retention + 1)
	_, ok = table.Find(keyNumber(2*maxRecords - 1))
	test.False(t, ok)
	test.Eq(t, 0, table.Len())
}

package origin

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

func TestObserverSeesReleasesThatAreGone(t *testing.T) {
	now := time.Unix(1000, 0)
	o := NewObserver()
	v1, v2 := Origin{Service: service, Release: "v1"}, Origin{Service: service, Release: "v2"}
	o.RecordRead(now, time.Second, now)
	o.Set("a", v1, now)
	o.Set("b", v1, now)
	o.Set("c", Origin{Service: "other", Release: "v7"}, now)
	o.Set("b", v2, now) // it has started again with another release
	now = now.Add(10 * time.Second)
	o.RecordRead(now, time.Second, now)
	o.Remove("a", now)
	now = now.Add(10 * time.Second)
	test.Eq(t, []string{"v1", "v2"}, o.seenReleases(service, retention, now))
	test.Eq(t, []string{"v2"}, o.listedReleases(service))
	test.False(t, o.absentFor(v1, retention, now), test.Sprint("seen a moment ago"))
	now = now.Add(retention)
	test.Eq(t, []string{"v2"}, o.seenReleases(service, retention, now))
	test.False(t, o.absentFor(v1, retention, now), test.Sprint("the copy is old"))
	o.RecordRead(now, time.Second, now)
	test.True(t, o.absentFor(v1, retention, now))
	test.False(t, o.absentFor(v2, retention, now), test.Sprint("listed"))
	o.RecordRead(now, time.Minute, now)
	test.False(t, o.absentFor(v1, retention, now), test.Sprint("not followed without a gap"))
}

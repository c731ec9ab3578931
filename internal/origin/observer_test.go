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
	test.Eq(t, []string{"v1", "v2"}, o.View(service, retention, true, now).Releases)
	now = now.Add(retention)
	v := o.View(service, retention, true, now)
	test.Eq(t, []string{"v2"}, v.Releases)
	test.Eq(t, 44_000, v.ObservedMS)
	test.Eq(t, 34_000, v.AgeMS)
	o.RecordRead(now, time.Minute, now)
	test.True(t, v.FirstStart)
	v = o.View(service, retention, true, now)
	test.Eq(t, 0, v.ObservedMS)
	test.False(t, v.FirstStart)
}

package engine

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/api/wire/enginewire"
)

func TestCache_EvictsTailFirst(t *testing.T) {
	ids := func(s string) (out []blockID) {
		for _, r := range s {
			out = append(out, blockID{byte(r)})
		}
		return out
	}
	var log string
	c := newCache(4, func(id blockID, removed bool) {
		if removed {
			log += "-"
		}
		log += string(id[:1])
	})
	c.insert(ids("abc"), origin{})
	c.insert(ids("abx"), origin{})
	c.insert(ids("y"), origin{}) // evicts c, the least recently used tail
	must.Eq(t, "abcx-cy", log)
	c.pin(ids("abx"), 1)
	must.Eq(t, 1, c.insert(ids("zw"), origin{})) // evicts y; z is pinned during the insert
	must.Eq(t, "abcx-cy-yz", log)
	must.Eq(t, 3, c.match(ids("abxc")))
	c.pin(ids("abx"), -1)
	must.Eq(t, 2, c.insert(ids("zw"), origin{}))
	must.Eq(t, 2, c.match(ids("abx")))
	must.Eq(t, 1.0, c.used())
}

func TestEvents_LateAndGapped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := timed
		cfg.EventDelay = 300 * ms
		e := newEngine(t, cfg)
		start(e, request("a", "four", 500)) // 5 blocks
		must.SliceEmpty(t, get[enginewire.Events](t, e, enginewire.PathEvents).Events)
		began := time.Now()
		got := get[enginewire.Events](t, e, enginewire.PathEvents+"?since=0&wait_ms=60000")
		must.Eq(t, 300*ms, time.Since(began))
		must.Len(t, 5, got.Events)
		must.Eq(t, 5, got.Next)
		must.Eq(t, 1, got.Events[0].Seq)

		e.Faults.Set(Faults{DropEventEvery: 3})
		start(e, request("b", "other", 400))
		time.Sleep(time.Second)
		gapped := get[enginewire.Events](t, e, enginewire.PathEvents+"?since=5")
		must.Len(t, 2, gapped.Events)
		must.Eq(t, 9, gapped.Next) // 6 and 9 were dropped
		state := get[enginewire.State](t, e, enginewire.PathState)
		must.Eq(t, 9, state.EventSeq)
		must.Len(t, 9, state.Blocks)
		began = time.Now()
		must.Eq(t, 9, get[enginewire.Events](t, e, enginewire.PathEvents+"?since=9&wait_ms=500").Next)
		must.Eq(t, 500*ms, time.Since(began))
	})
}

func TestLoad_Lags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := timed
		cfg.LoadLag = time.Second
		e := newEngine(t, cfg)
		begin(t.Context(), e, request("a", "four", 100))
		time.Sleep(900 * ms)
		load := get[enginewire.Load](t, e, enginewire.PathLoad)
		must.Eq(t, enginewire.Load{Incarnation: e.Incarnation(), AgeMS: 900, Role: roleServing}, load)
		time.Sleep(300 * ms)
		load = get[enginewire.Load](t, e, enginewire.PathLoad)
		must.Eq(t, enginewire.Load{Incarnation: e.Incarnation(), Running: 1, AgeMS: 200, Role: roleServing}, load)
		time.Sleep(time.Minute)
	})
}

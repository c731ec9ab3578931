package hostlist

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/api/wire/hostwire"
)

func shown(t *testing.T, l *List) (out hostwire.List) {
	t.Helper()
	rec := httptest.NewRecorder()
	l.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, hostwire.PathHosts, nil))
	must.NoError(t, json.Unmarshal(rec.Body.Bytes(), &out))
	return out
}

func TestList_Lags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Config{Lag: 5 * time.Second})
		defer l.Close()
		a := hostwire.Host{ID: "a", Addr: "127.0.0.1:1", Domain: "north", State: hostwire.Live, Node: true}
		b := hostwire.Host{ID: "b", State: hostwire.Live}
		l.Set(b)
		l.Set(a)
		must.Eq(t, hostwire.List{}, shown(t, l))
		time.Sleep(5 * time.Second)
		must.Eq(t, hostwire.List{Version: 2, Hosts: []hostwire.Host{a, b}}, shown(t, l))

		l.Leaving("a")
		time.Sleep(time.Second)
		l.Faults.Set(Faults{ExtraLagMS: 10000})
		l.Remove("b")
		l.Faults.Set(Faults{})
		a.State = hostwire.Leaving
		l.Set(hostwire.Host{ID: "c"}) // becomes visible after the older change
		time.Sleep(4 * time.Second)
		must.Eq(t, hostwire.List{Version: 3, Hosts: []hostwire.Host{a, b}}, shown(t, l))
		time.Sleep(10 * time.Second)
		must.Eq(t, 3, shown(t, l).Version)
		time.Sleep(time.Second)
		must.Eq(t, hostwire.List{Version: 5, Hosts: []hostwire.Host{a, {ID: "c"}}}, shown(t, l))
	})
}

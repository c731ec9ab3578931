package peerload

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/fleet"
)

const model = "m"

func memberOf(t *testing.T, born, version int64) (*fleet.Fleet, *fleet.Member) {
	t.Helper()
	f := fleet.New(zerolog.Nop())
	f.Update(&fleet.Endpoint{ID: "e", Service: "s", Addr: "127.0.0.1:1", Born: born, Weights: []fleet.Weights{{Model: model, Version: version}}}, now)
	return f, f.All()[0]
}

func said(version int64, at time.Time) fleet.Statement {
	return fleet.Statement{Weights: fleet.Weights{Model: model, Version: version}, At: at}
}

// TestSeenIsOfOneStart tells what an engine said of its weights to nodes that know the same start
// of it, and counts it from when it was said.
func TestSeenIsOfOneStart(t *testing.T) {
	teller, told := memberOf(t, 100, 1)
	told.Saw(said(2, now))
	data, err := json.Marshal(SeenOf(teller.All(), now.Add(time.Second)))
	must.NoError(t, err)
	var list []Seen
	must.NoError(t, json.Unmarshal(data, &list))
	must.Len(t, 1, list)
	heard := list[0].statement(0, now.Add(time.Second))
	test.Eq(t, now, heard.At)

	_, same := memberOf(t, 100, 1)
	same.Heard(heard)
	test.Eq(t, 2, same.VersionOf(model))
	_, newer := memberOf(t, 100, 1)
	newer.Saw(said(3, now.Add(time.Second/2)))
	newer.Heard(heard)
	test.Eq(t, 3, newer.VersionOf(model), test.Sprint("it said more since"))
	_, again := memberOf(t, 200, 1)
	again.Heard(heard)
	test.Eq(t, 1, again.VersionOf(model), test.Sprint("it started again"))
}

// TestHearsayIsNotTold keeps nodes from telling one another for ever what no engine says any more.
func TestHearsayIsNotTold(t *testing.T) {
	f, m := memberOf(t, 100, 1)
	m.Heard(said(2, now))
	test.SliceEmpty(t, SeenOf(f.All(), now))
}

// TestSeenOfAnotherBuild takes what a node says that names neither starts nor ages.
func TestSeenOfAnotherBuild(t *testing.T) {
	_, m := memberOf(t, 100, 1)
	s := Seen{Model: model, Version: 2, Endpoints: []string{"e"}}
	m.Heard(s.statement(0, now))
	test.Eq(t, 2, m.VersionOf(model))
}

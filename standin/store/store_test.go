package store

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/api/wire/storewire"
	"github.com/cherryward/cherryward/standin/fault"
)

// call serves a request in memory. The code is 0 if the connection was dropped.
func call(s *Store, method, path string, body io.Reader, header ...string) (rec *httptest.ResponseRecorder) {
	rec = httptest.NewRecorder()
	defer func() {
		if p := recover(); p == http.ErrAbortHandler {
			rec.Code = 0
		} else if p != nil {
			panic(p)
		}
	}()
	req := httptest.NewRequest(method, path, body)
	if len(header) > 0 {
		req.Header.Set(storewire.HeaderChecksum, header[0])
	}
	s.Handler().ServeHTTP(rec, req)
	return rec
}

func put(s *Store, name, data string) int {
	return call(s, http.MethodPut, storewire.PathBlocks+"/"+name, strings.NewReader(data)).Code
}

func getBlock(s *Store, name string) *httptest.ResponseRecorder {
	return call(s, http.MethodGet, storewire.PathBlocks+"/"+name, nil)
}

func get[T any](t *testing.T, s *Store, path string) (out T) {
	t.Helper()
	rec := call(s, http.MethodGet, path, nil)
	must.Eq(t, 200, rec.Code)
	must.NoError(t, json.Unmarshal(rec.Body.Bytes(), &out))
	return out
}

func code(t *testing.T, rec *httptest.ResponseRecorder) storewire.ErrorCode {
	t.Helper()
	var out storewire.Error
	must.NoError(t, json.Unmarshal(rec.Body.Bytes(), &out))
	return out.Code
}

// infos formats the host's blocks as "name tier complete bytes".
func infos(t *testing.T, s *Store) (out []string) {
	for _, b := range get[storewire.BlockList](t, s, storewire.PathBlocks).Blocks {
		out = append(out, fmt.Sprint(b.Name, " ", b.Tier, " ", b.Complete, " ", b.Bytes))
	}
	return out
}

func TestBlocks_WriteOnce(t *testing.T) {
	s := New(Config{MemoryBytes: 100})
	defer s.Close()
	must.Eq(t, 201, put(s, "a", "hello"))
	got := getBlock(s, "a")
	must.Eq(t, "hello", got.Body.String())
	sum := got.Header().Get(storewire.HeaderChecksum)
	must.Eq(t, "2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824", sum)
	must.Eq(t, 409, put(s, "a", "hello"))
	must.Eq(t, 204, call(s, http.MethodDelete, storewire.PathBlocks+"/a", nil).Code)
	must.Eq(t, storewire.ErrNotFound, code(t, getBlock(s, "a")))
	must.Eq(t, 404, call(s, http.MethodDelete, storewire.PathBlocks+"/a", nil).Code)
	must.Eq(t, 409, put(s, "a", "again"))

	wrong := call(s, http.MethodPut, storewire.PathBlocks+"/b", strings.NewReader("jello"), sum)
	must.Eq(t, storewire.ErrChecksum, code(t, wrong))
	must.Eq(t, storewire.ErrIncomplete, code(t, getBlock(s, "b")))
	must.Eq(t, 409, put(s, "b", "hello"))
	unsized := call(s, http.MethodPut, storewire.PathBlocks+"/c", struct{ io.Reader }{strings.NewReader("x")})
	must.Eq(t, storewire.ErrBadRequest, code(t, unsized))
}

func TestTiers_DemoteThenFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{MemoryBytes: 10, DiskBytes: 10, DiskLatency: time.Second, DiskBytesPerSecond: 5})
		defer s.Close()
		for _, name := range []string{"c", "a", "b", "d"} {
			must.Eq(t, 201, put(s, name, "12345"))
			time.Sleep(time.Second)
		}
		must.Eq(t, []string{"a disk true 5", "b memory true 5", "c disk true 5", "d memory true 5"}, infos(t, s))
		usage := get[storewire.Usage](t, s, storewire.PathUsage)
		must.Eq(t, []storewire.TierUsage{{Used: 10, Capacity: 10}, {Used: 10, Capacity: 10}}, []storewire.TierUsage{usage.Memory, usage.Disk})
		must.Eq(t, 507, put(s, "e", "1"))
		began := time.Now()
		getBlock(s, "b")
		must.Eq(t, 0, time.Since(began))
		getBlock(s, "a")
		must.Eq(t, 2*time.Second, time.Since(began))

		list := get[storewire.BlockList](t, s, storewire.PathBlocks+"?after=a&limit=2")
		must.Eq(t, []string{"b", "c"}, []string{list.Blocks[0].Name, list.Blocks[1].Name})
		must.True(t, list.More)
		must.Eq(t, 4000, list.Blocks[0].AgeMS)
		must.False(t, get[storewire.BlockList](t, s, storewire.PathBlocks+"?after=cc").More)
		call(s, http.MethodDelete, storewire.PathBlocks+"/a", nil)
		must.Eq(t, 201, put(s, "e", "1"))
	})
}

func manifest(s *Store, key, name string) int {
	body, err := json.Marshal(storewire.Manifest{Key: key, Name: name})
	if err != nil {
		panic(err)
	}
	return call(s, http.MethodPut, storewire.PathManifests+"/"+key, bytes.NewReader(body)).Code
}

func TestManifests(t *testing.T) {
	s := New(Config{})
	defer s.Close()
	must.Eq(t, 201, manifest(s, "k2", "n2"))
	must.Eq(t, 201, manifest(s, "k1", "n1"))
	must.Eq(t, 409, manifest(s, "k1", "other"))
	must.Eq(t, "n1", get[storewire.Manifest](t, s, storewire.PathManifests+"/k1").Name)
	list := get[storewire.ManifestList](t, s, storewire.PathManifests+"?limit=1")
	must.True(t, list.More && list.Manifests[0].Key == "k1")
	for _, c := range []struct {
		path string
		want int
	}{{"/k1?block=other", 404}, {"/k1?block=n1", 204}, {"/k1", 404}, {"/k2", 204}} {
		must.Eq(t, c.want, call(s, http.MethodDelete, storewire.PathManifests+c.path, nil).Code)
	}
	must.Eq(t, 201, manifest(s, "k1", "other"))
	must.Eq(t, 400, call(s, http.MethodPut, storewire.PathManifests+"/k9", strings.NewReader(`{"key":"k8"}`)).Code)
}

func TestFaults(t *testing.T) {
	s := New(Config{MemoryBytes: 1000})
	defer s.Close()
	post := func(path, body string) int {
		return call(s, http.MethodPost, fault.Path+path, strings.NewReader(body)).Code
	}
	must.Eq(t, 400, post("/rollback", ""))
	must.Eq(t, 201, put(s, "a", "hello"))
	must.Eq(t, 200, post("", `{"full":true}`))
	must.Eq(t, 507, put(s, "b", "hello"))
	must.Eq(t, 200, post("", `{"full":false,"break_after":3}`))
	must.Eq(t, 0, put(s, "b", "hello"))
	must.Eq(t, storewire.ErrIncomplete, code(t, getBlock(s, "b")))
	must.Eq(t, []string{"a memory true 5", "b memory false 3"}, infos(t, s))
	must.Eq(t, 8, get[storewire.Usage](t, s, storewire.PathUsage).Memory.Used)
	s.Faults.Set(Faults{CorruptReads: true})
	must.NotEq(t, "hello", getBlock(s, "a").Body.String())
	s.Faults.Set(Faults{Process: fault.Process{Dead: true}})
	must.Eq(t, 0, getBlock(s, "a").Code)
	s.Faults.Set(Faults{})
	must.Eq(t, "hello", getBlock(s, "a").Body.String())

	generation := func() string { return get[storewire.Usage](t, s, storewire.PathUsage).Generation }
	first := generation()
	must.Eq(t, 204, post("/snapshot", ""))
	call(s, http.MethodDelete, storewire.PathBlocks+"/a", nil)
	must.Eq(t, 201, put(s, "later", "x"))
	must.Eq(t, 204, post("/rollback", ""))
	second := generation()
	must.Eq(t, []string{"a memory true 5", "b memory false 3"}, infos(t, s))
	must.Eq(t, 201, put(s, "later", "other")) // the name was first used after the snapshot
	must.Eq(t, 204, post("/corrupt?name=a", ""))
	must.NotEq(t, "hello", getBlock(s, "a").Body.String())
	must.Eq(t, 400, post("/corrupt?name=x", ""))
	must.Eq(t, 204, post("/lose", ""))
	must.SliceEmpty(t, infos(t, s))
	must.Eq(t, 0, get[storewire.Usage](t, s, storewire.PathUsage).Memory.Used)
	must.MapLen(t, 3, map[string]bool{first: true, second: true, generation(): true})
}

func TestLink_SlowsReadsAndWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{MemoryBytes: 1 << 20, LinkBytesPerSecond: 16 << 10})
		defer s.Close()
		data := strings.Repeat("x", 64<<10)
		began := time.Now()
		must.Eq(t, 201, put(s, "a", data))
		must.Eq(t, 3*time.Second, time.Since(began).Round(time.Millisecond)) // the first 16 KiB pass at once
		s.Faults.Set(Faults{LinkBytesPerSecond: 8 << 10})
		must.Eq(t, data, getBlock(s, "a").Body.String())
		must.Eq(t, 11*time.Second, time.Since(began).Round(time.Millisecond))
	})
}

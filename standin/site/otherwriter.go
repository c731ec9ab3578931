package site

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
)

// OtherWriter is another process that writes to the site's metadata store. None of its entries
// describes a usable server. They contain its own address, at which it counts the calls that
// nodes make nevertheless.
type OtherWriter struct {
	site  *Site
	addr  string
	calls atomic.Int64
}

func newOtherWriter(s *Site) (*OtherWriter, error) {
	f := &OtherWriter{site: s}
	at, err := s.serveNewPort(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		f.calls.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
	}))
	f.addr = at.addr
	return f, err
}

// Calls returns the number of calls to the writer's address.
func (f *OtherWriter) Calls() int64 { return f.calls.Load() }

// entry returns a valid engine entry of a service, with the writer's address.
func (f *OtherWriter) entry(service string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"north","version":"v1","slots":64,"state":"ready",`+
		`"cold-left-ms":0,"stage":"read_write","models":[{"name":%q,"version":1,"adapters":[]}],"seq":1}`, service, f.addr, Model)
}

// Entries returns unusable entries: for services that are not configured, with missing fields or
// fields of the wrong type, and bytes that can't be decoded.
func (f *OtherWriter) Entries() []string {
	engine := f.entry("models")
	list := []string{
		f.entry("strangers"), f.entry("Models"), f.entry("keep"), "{}", "null", "[]", "7", `"x"`, "{", "\xff\xfe\x00", engine + "x",
		strings.Repeat("[", 1000), strings.Repeat("x", 100<<10), strings.ToUpper(engine),
	}
	for _, field := range []string{"service", "address", "zone", "version", "slots", "state", "cold-left-ms", "seq"} {
		list = append(list, strings.Replace(engine, `"`+field+`":`, `"not-`+field+`":`, 1))
		for _, value := range []string{"null", "{}", `[1]`, "true", `""`, "-1.5e300"} {
			list = append(list, strings.Replace(engine, `"`+field+`":`, `"`+field+`":`+value+`,"`+field+`":`, 1))
		}
	}
	for _, change := range [][2]string{
		{`"ready"`, `"starting"`}, {`:64`, `:-64`}, {`:64`, `:1e999`}, {`:64`, `:"64"`}, {f.addr, "0.0.0.0:80"}, {f.addr, "x:80"},
		{`"slots":64`, `"slots":99999999999999999999`}, {`"seq":1`, `"seq":1e400`}, {`"cold-left-ms":0`, `"cold-left-ms":-1e999`},
		{`"models":[`, `"models":[7,`}, {`"version":1,"adapters"`, `"version":"1","adapters"`}, {`"seq":1`, `"seq":1,"born":1.5`},
	} {
		list = append(list, strings.Replace(engine, change[0], change[1], 1))
	}
	ip, port, _ := strings.Cut(f.addr, ":")
	for _, odd := range []string{":65536", ":70000", ":-1", ":", ":0" + port, ":" + port + " ", "%lo:" + port} {
		list = append(list, strings.Replace(engine, f.addr, ip+odd, 1))
	}
	return append(append(list, strings.Replace(engine, f.addr, "[::ffff:"+ip+"]:"+port, 1)), f.nestedEntries()...)
}

// nestedEntries returns entries that are nested deeply: as a whole, in a field that is not known, and in models.
func (f *OtherWriter) nestedEntries() []string {
	engine := f.entry("models")
	var list []string
	for _, levels := range []int{100, 9998, 30_000} {
		for _, pair := range [][2]string{{"[", "]"}, {`{"x":`, "}"}} {
			deep := strings.Repeat(pair[0], levels) + "1" + strings.Repeat(pair[1], levels)
			list = append(list, deep, strings.Replace(engine, `"seq":1`, `"seq":1,"x":`+deep, 1), strings.Replace(engine, `"adapters":[]`, `"adapters":`+deep, 1))
		}
	}
	return list
}

// maxManyBytes is the length of the longest entry of WriteMany: a store full of long ones takes its time to read.
const maxManyBytes = 1 << 10

// WriteMany writes count short unusable entries under keys of their own.
func (f *OtherWriter) WriteMany(count int) {
	list := slices.DeleteFunc(f.Entries(), func(entry string) bool { return len(entry) > maxManyBytes })
	for i := range count {
		f.site.Store.Put("keyed.servers", fmt.Sprint("many-", i), []byte(list[i%len(list)]))
	}
}

// OverwriteServer writes an unusable entry under the key of a server of the site, which the server's next heartbeat
// replaces.
func (f *OtherWriter) OverwriteServer(server, entry int) {
	list := f.Entries()
	f.site.Store.Put("keyed.servers", f.site.servers[server].id, []byte(list[entry%len(list)]))
}

// Write writes all entries under separate keys and under the keys of the given model servers, and
// appends invalid records to the topics of the operator and the servers.
func (f *OtherWriter) Write(overwritten ...int) {
	store := f.site.Store
	for i, entry := range f.Entries() {
		store.Put("keyed.servers", fmt.Sprint("foreign-", i), []byte(entry))
		for _, server := range overwritten {
			store.Put("keyed.servers", f.site.servers[server].id, []byte(entry))
		}
	}
	for _, topic := range []string{"keyed.servers", "keyed.op"} {
		for _, raw := range []string{"", "\xff", "\x09model-1", "\x02\xc3(v"} {
			store.PutRecord(topic, []byte(raw))
		}
		store.PutInvalidValue(topic, "foreign-unreadable", "no base64!")
	}
	deep := strings.Repeat("[", 9998) + strings.Repeat("]", 9998)
	for _, key := range []string{"rollout/models", "evacuate", "version/other"} {
		for _, value := range []string{deep, "{", `{"version":1e400}`, `{"destination":"v2","within-s":1e400}`, `{"destination":"v2","within-s":5,"x":` + deep + "}"} {
			store.Put("keyed.op", key, []byte(value))
		}
	}
	for _, value := range []string{"{", "null", "{}", `{"version":9223372036854775807}`, `{"version":1e400}`, deep, `{"version":9,"x":` + deep + "}", `{"version":"9"}`, `{"version":-9}`, `{"version":9.5}`, "\xff"} {
		store.Put("keyed.op", "config", []byte(value))
		store.Put("keyed.op", "version/"+Model, []byte(value))
	}
	store.Put("keyed.op", "version/"+Model, []byte(`{"model":"another","version":9}`))
	for _, value := range []string{`{"version":9,"routes":{}}`, `{"version":9,"routes":[{}]}`, `{"version":9,"services":[{}]}`, `{"version":9,"tenants":[{}]}`,
		`{"version":9,"services":[{"name":"keep","kv-store-addr":"10.0.0.1:70000"}]}`} {
		store.Put("keyed.op", "config", []byte(value))
	}
}

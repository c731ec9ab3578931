package site

import (
	"fmt"
	"net/http"
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
		{`"models":[`, `"models":[7,`}, {`"version":1,"adapters"`, `"version":"1","adapters"`}, {`"seq":1`, `"seq":1,"born":1.5`},
	} {
		list = append(list, strings.Replace(engine, change[0], change[1], 1))
	}
	return list
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
	for _, value := range []string{"{", "null", "{}", `{"version":"9"}`, `{"version":-9}`, `{"version":9.5}`, "\xff"} {
		store.Put("keyed.op", "config", []byte(value))
		store.Put("keyed.op", "version/"+Model, []byte(value))
	}
	store.Put("keyed.op", "version/"+Model, []byte(`{"model":"another","version":9}`))
	for _, value := range []string{`{"version":9,"routes":{}}`, `{"version":9,"routes":[{}]}`, `{"version":9,"services":[{}]}`, `{"version":9,"tenants":[{}]}`} {
		store.Put("keyed.op", "config", []byte(value))
	}
}

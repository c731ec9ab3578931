// Package metastore is a stand-in for the metadata store of the users' platform. The store holds
// topics with one partition each; keyed topics retain the newest record of each key.
//
// It implements the part of the published protocol that nodes use: append, read with long polling,
// and listing the newest records of a keyed topic.
package metastore

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	keyedPrefix  = "keyed."
	maxCallBytes = 2 << 20
	lengthBytes  = 4
	headerBytes  = 16
	pathAppend   = "/-/log-append"
)

// restoresKey is the context key of the number of calls of Restore when a request arrived.
type restoresKey struct{}

// Faults are the faults that tests can inject.
type Faults struct {
	Down bool // calls are rejected with status 503
	// RefuseWrites rejects appends with status 503.
	RefuseWrites bool
	// LoseResponses closes the connection of each append after it was executed, without a
	// response.
	LoseResponses bool
	// Delay is the delay before each call.
	Delay time.Duration
}

// Store is the service. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	topics   map[string]*topic
	faults   Faults
	calls    map[string]int
	change   chan struct{}     // closed and replaced on each append
	era      string            // value of the Store-Era header; empty for none
	copied   map[string]*topic // copy made by Copy; nil if none
	restores int               // calls of Restore
}

type topic struct {
	first   int64 // offset of records[0]
	records [][]byte
	newest  map[string]newest
}

type newest struct {
	value  string // in base64, as in responses
	offset int64
}

// New returns an empty store.
func New() *Store {
	return &Store{topics: make(map[string]*topic), calls: make(map[string]int), change: make(chan struct{})}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of calls to a path.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Put appends a record for a key, as operators and servers do. An empty value deletes the key.
func (s *Store) Put(name, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, append(record, value...))
}

// PutRecord appends an arbitrary record, which needn't contain a key, as other writers may do.
func (s *Store) PutRecord(name string, record []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, record)
}

// PutInvalidValue makes the listing of newest records return text, which may be invalid base64, as
// the value of a key. A truncated record is appended to the log.
func (s *Store) PutInvalidValue(name, key, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := s.append(name, append([]byte{byte(len(key) + 1)}, key...))
	s.topic(name).newest[key] = newest{value: text, offset: offset}
}

// Handler returns a handler for the protocol.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathAppend, s.serveAppend)
	mux.HandleFunc("GET /-/log-read", s.serveRead)
	mux.HandleFunc("GET /-/log-newest", s.serveNewest)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[r.URL.Path]++
		faults, era, restores := s.faults, s.era, s.restores
		s.mu.Unlock()
		if era != "" {
			w.Header().Set("Store-Era", era)
		}
		time.Sleep(faults.Delay)
		if faults.Down || faults.RefuseWrites && r.URL.Path == pathAppend {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), restoresKey{}, restores)))
	})
}

// topic returns a topic, which it creates on first use. s.mu is held.
func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]newest)}
		s.topics[name] = t
	}
	return t
}

// append adds a record and returns its offset. s.mu is held.
func (s *Store) append(name string, record []byte) int64 {
	t := s.topic(name)
	offset := t.first + int64(len(t.records))
	t.records = append(t.records, record)
	if strings.HasPrefix(name, keyedPrefix) {
		t.setNewest(record, offset)
	}
	close(s.change)
	s.change = make(chan struct{})
	return offset
}

// setNewest makes a record of a keyed topic the newest one of its key. Truncated records, which
// have no key, are ignored.
func (t *topic) setNewest(record []byte, offset int64) {
	if len(record) == 0 || int(record[0]) > len(record)-1 {
		return
	}
	n := 1 + int(record[0])
	key := string(record[1:n])
	if n == len(record) {
		delete(t.newest, key)
		return
	}
	t.newest[key] = newest{value: base64.StdEncoding.EncodeToString(record[n:]), offset: offset}
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxCallBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	name := r.URL.Query().Get("topic")
	t := s.topic(name)
	first := t.first + int64(len(t.records))
	if expected := r.URL.Query().Get("expected-end"); expected != "" && expected != strconv.FormatInt(first, 10) {
		s.mu.Unlock()
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	for len(body) >= lengthBytes {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-lengthBytes {
			s.mu.Unlock()
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.append(name, body[lengthBytes:lengthBytes+n])
		body = body[lengthBytes+n:]
	}
	end := t.first + int64(len(t.records))
	lose := s.faults.LoseResponses
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]int64{"offset": first, "end": end})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("wait-ms")) // absent means 0
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		first, end := t.first, t.first+int64(len(t.records))
		var records [][]byte
		if from >= first && from < end {
			records = slices.Clone(firstFitting(t.records[from-first:]))
		}
		change := s.change
		restored := r.Context().Value(restoresKey{}) != s.restores
		s.mu.Unlock()
		if restored {
			panic(http.ErrAbortHandler) // the connections of a store that goes away are lost
		}
		if from < first || from > end {
			w.WriteHeader(http.StatusGone)
			writeJSON(w, map[string]int64{"first": first})
			return
		}
		if len(records) > 0 || wait == 0 {
			writeRecords(w, end, first, records)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-change:
		case <-timeout:
			wait = 0
		}
	}
}

func writeRecords(w http.ResponseWriter, end, first int64, records [][]byte) {
	data := make([]byte, 0, headerBytes)
	data = binary.BigEndian.AppendUint64(data, uint64(end))
	data = binary.BigEndian.AppendUint64(data, uint64(first))
	for _, record := range records {
		data = binary.BigEndian.AppendUint32(data, uint32(len(record)))
		data = append(data, record...)
	}
	_, _ = w.Write(data) // fails only if the client has disconnected
}

func writeJSON(w http.ResponseWriter, v any) {
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}

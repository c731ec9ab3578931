package store

import (
	"encoding/json"
	"net/http"

	"github.com/cherryward/cherryward/api/wire/storewire"
	"github.com/cherryward/cherryward/standin/fault"
)

const maxManifestBytes = 64 << 10

// putManifest stores a manifest unless the key has one.
func (s *Store) putManifest(w http.ResponseWriter, r *http.Request) {
	var m storewire.Manifest
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxManifestBytes)).Decode(&m)
	if err != nil || m.Key != r.PathValue("key") {
		writeError(w, storewire.ErrBadRequest, "the body is not a manifest, or its key differs from the path")
		return
	}
	s.mu.Lock()
	_, exists := s.current.manifests[m.Key]
	if !exists {
		s.current.putManifest(m)
	}
	s.mu.Unlock()
	if exists {
		writeError(w, storewire.ErrExists, "the key already has a manifest")
		return
	}
	w.WriteHeader(http.StatusCreated)
}

func (s *Store) getManifest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	m, found := s.current.manifests[r.PathValue("key")]
	s.mu.Unlock()
	if !found {
		writeError(w, storewire.ErrNotFound, "no such manifest")
		return
	}
	fault.WriteJSON(w, http.StatusOK, m)
}

// deleteManifest deletes a manifest; with ?block=NAME only if it refers to that block.
func (s *Store) deleteManifest(w http.ResponseWriter, r *http.Request) {
	key, name := r.PathValue("key"), r.URL.Query().Get("block")
	s.mu.Lock()
	m, found := s.current.manifests[key]
	found = found && (name == "" || m.Name == name)
	if found {
		s.current.deleteManifest(key)
	}
	s.mu.Unlock()
	if !found {
		writeError(w, storewire.ErrNotFound, "no manifest with this key and block")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) listManifests(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	keys, more := page(s.current.manifestKeys, r.URL.Query().Get("after"), limit(r))
	out := storewire.ManifestList{Generation: s.current.generation, More: more}
	for _, key := range keys {
		out.Manifests = append(out.Manifests, s.current.manifests[key])
	}
	s.mu.Unlock()
	fault.WriteJSON(w, http.StatusOK, out)
}

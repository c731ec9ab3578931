package soak

import (
	"fmt"
	"strings"

	"github.com/cherryward/cherryward/standin/modelserver"
	"github.com/cherryward/cherryward/standin/site"
)

func (w *world) brokenPromises() []string {
	broken := w.seen.failures
	uploads := make(map[string]int)
	for _, s := range append([]*modelserver.Server{w.site.Plain}, w.site.Models...) {
		for _, r := range s.Runs() {
			sent, known := w.seen.sent[r.Request]
			gone, isGone := w.revoked[sent.key]
			switch {
			case !known:
				broken = append(broken, r.Request+" ran, and no client sent it")
			case r.Header.Get("X-Tenant") != site.Account || r.Header.Get("Authorization") != "":
				broken = append(broken, r.Request+" ran under another account, or with its key")
			case isGone && sent.at.After(gone.Add(revokeBound)):
				broken = append(broken, r.Request+" ran with a key that was taken away")
			case w.seen.refused[r.Request] && !strings.HasPrefix(r.Target, site.PathLookup):
				broken = append(broken, r.Request+" ran, and its client was told that it did not")
			}
			if strings.HasPrefix(r.Target, site.PathUpload) || strings.HasPrefix(r.Target, site.PathSummary) {
				uploads[r.Request]++
			}
		}
	}
	for id, n := range uploads {
		if n > 1 {
			broken = append(broken, fmt.Sprintf("%s ran %d times", id, n))
		}
	}
	return broken
}

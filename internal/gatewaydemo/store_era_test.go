package gatewaydemo_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/cherryward/cherryward/standin/site"
)

const (
	applyLimit   = 5 * time.Second  // for a configuration: the bound of 2 s, and the stable window
	versionLimit = 12 * time.Second // for weights
)

// TestChangesAreReadThoughTheirOffsetsWereGivenOutBefore guards against nodes that miss what is written
// after the store came back from an older copy, at offsets that they have read already.
func TestChangesAreReadThoughTheirOffsetsWereGivenOutBefore(t *testing.T) {
	s, members := startSite(t, 2)
	s.Store.SetEra("1")
	accepts := func(key string) func() bool {
		return func() bool {
			for _, m := range members {
				if status, _ := sendRequest(t, m, site.PathLookup, key, "r-"+key, ""); status != http.StatusOK {
					return false
				}
			}
			return true
		}
	}
	s.Store.Copy()
	s.Configure(2, key, "lost")
	waitUntil(t, "a key that the store forgets is accepted", accepts("lost"))
	s.Store.Restore("2")
	s.Configure(3, key, "later")
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(accepts("later")), wait.Timeout(applyLimit), wait.Gap(10*time.Millisecond)))
}

// TestWeightsAreLoadedThoughTheClaimsWereForgotten guards against nodes that wait for claims at offsets that
// the store doesn't have.
func TestWeightsAreLoadedThoughTheClaimsWereForgotten(t *testing.T) {
	s, _ := startSite(t, 2)
	s.Store.SetEra("1")
	loaded := func(version int64) func() bool {
		return func() bool {
			for _, v := range versionsOf(s) {
				if v != version {
					return false
				}
			}
			return true
		}
	}
	s.Store.Copy()
	s.SetTargetVersion(2)
	waitUntil(t, "version 2 is loaded", loaded(2))
	s.Store.Restore("2")
	s.SetTargetVersion(3)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(loaded(3)), wait.Timeout(versionLimit), wait.Gap(10*time.Millisecond)))
}

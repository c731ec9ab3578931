// Package runid creates and parses the ids of runs.
//
// Guarantee: any node can read from a run id which endpoint holds the run, and Parse accepts an
// id only for the client account for which it was created: the id contains a truncated HMAC under
// the nodes' shared key.
package runid

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/cherryward/cherryward/internal/result"
)

const (
	prefix         = "r1"
	randomBytes    = 12
	macBytes       = 16
	partCount      = 5
	separator      = "-"
	eventSeparator = ":"
	maxIDLength    = 256
)

// ID is the information contained in a run id.
type ID struct {
	// Endpoint is the name of the engine that holds the run.
	Endpoint string
	// Base is the number of tokens of the answer that earlier runs delivered.
	Base int
}

// New returns a new, unique run id for an account, authenticated with key.
func New(key []byte, account string, id ID) string {
	nonce := Nonce()
	base := strconv.Itoa(id.Base)
	return strings.Join([]string{prefix, nonce, base, computeMAC(key, account, nonce, base, id.Endpoint), id.Endpoint}, separator)
}

// Nonce returns a random string, long enough to be unique across nodes and restarts.
func Nonce() string {
	random := make([]byte, randomBytes)
	rand.Read(random) // never returns an error, according to its documentation
	return hex.EncodeToString(random)
}

// Parse parses a run id. It fails with result.RunNotFound if the id is malformed or was not created
// for the account.
func Parse(key []byte, account, run string) (ID, error) {
	p := strings.SplitN(run, separator, partCount)
	if len(run) > maxIDLength || len(p) != partCount || p[0] != prefix {
		return ID{}, result.New(result.RunNotFound)
	}
	want := computeMAC(key, account, p[1], p[2], p[4])
	if !hmac.Equal([]byte(want), []byte(p[3])) {
		return ID{}, result.New(result.RunNotFound)
	}
	base, err := strconv.Atoi(p[2])
	if err != nil {
		return ID{}, result.New(result.RunNotFound)
	}
	return ID{Endpoint: p[4], Base: base}, nil
}

// EventID returns the id of the event after which offset tokens of the answer have been delivered.
func EventID(run string, offset int) string {
	return run + eventSeparator + strconv.Itoa(offset)
}

// ParseEventID splits an event id into its run id and offset. It fails with result.BadEventID if
// the id is malformed.
func ParseEventID(s string) (run string, offset int, err error) {
	run, text, ok := strings.Cut(s, eventSeparator)
	if !ok {
		return "", 0, result.New(result.BadEventID, result.WithField("Last-Event-ID"))
	}
	offset, err = strconv.Atoi(text)
	if err != nil || offset < 0 {
		return "", 0, result.New(result.BadEventID, result.WithField("Last-Event-ID"))
	}
	return run, offset, nil
}

// computeMAC returns the truncated HMAC over the account and the other parts of an id, in hex. The
// account and the endpoint may contain the separator; the account's length is included so that the
// parts are unambiguous.
func computeMAC(key []byte, account string, fields ...string) string {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(strconv.Itoa(len(account)) + separator + account + separator + strings.Join(fields, separator)))
	return hex.EncodeToString(mac.Sum(nil)[:macBytes])
}

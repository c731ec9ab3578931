package kvindex

import (
	"net/url"
	"strconv"
	"strings"
)

// Salt identifies the requests that share kept parts: those for the same version of a model's
// weights, for an isolated client account of that account only, for other accounts only while the same ones are
// isolated, and for confined requests only those that are confined to the same regions.
type Salt struct {
	Model   string
	Version int64
	Account string // set for an isolated client account only
	// Residency is the key of the residency policy of confined requests; empty for others.
	Residency string
	// Sharing is the sharing key of accounts that are not isolated; empty for others, and while none is isolated.
	Sharing string
}

// The text form of a salt has minSaltFields fields, and up to two more: those after the last one that is not empty are
// left out.
const (
	minSaltFields = 3
	maxSaltFields = 5
)

// String returns the text form, under which engines and stores keep the parts. Names are escaped,
// so that different salts have different texts.
func (s Salt) String() string {
	text := strconv.FormatInt(s.Version, 10) + "/" + url.PathEscape(s.Model) + "/" + url.PathEscape(s.Account)
	switch {
	case s.Sharing != "":
		return text + "/" + url.PathEscape(s.Residency) + "/" + url.PathEscape(s.Sharing)
	case s.Residency != "":
		return text + "/" + url.PathEscape(s.Residency)
	}
	return text
}

// ParseSalt parses the text form of a salt, and reports false for a text that String can't have
// written.
func ParseSalt(text string) (Salt, bool) {
	fields := strings.Split(text, "/")
	if len(fields) < minSaltFields || len(fields) > maxSaltFields {
		return Salt{}, false
	}
	version, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		return Salt{}, false
	}
	names := make([]string, maxSaltFields)
	for i, field := range fields[1:] {
		if names[i], err = url.PathUnescape(field); err != nil {
			return Salt{}, false
		}
	}
	salt := Salt{Model: names[0], Version: version, Account: names[1], Residency: names[2], Sharing: names[3]}
	return salt, len(fields) == minSaltFields || fields[len(fields)-1] != ""
}

package kvindex

import (
	"net/url"
	"strconv"
	"strings"
)

// Salt identifies the requests that share kept parts: those for the same version of a model's
// weights and, for an isolated client account, of that account only.
type Salt struct {
	Model   string
	Version int64
	Account string // set for an isolated client account only
}

// saltFields is the number of fields in the text form of a salt.
const saltFields = 3

// String returns the text form, under which engines and stores keep the parts. Names are escaped,
// so that different salts have different texts.
func (s Salt) String() string {
	return strconv.FormatInt(s.Version, 10) + "/" + url.PathEscape(s.Model) + "/" + url.PathEscape(s.Account)
}

// ParseSalt parses the text form of a salt, and reports false for a text that String can't have
// written.
func ParseSalt(text string) (Salt, bool) {
	fields := strings.SplitN(text, "/", saltFields)
	if len(fields) != saltFields {
		return Salt{}, false
	}
	version, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		return Salt{}, false
	}
	model, err := url.PathUnescape(fields[1])
	if err != nil {
		return Salt{}, false
	}
	account, err := url.PathUnescape(fields[2])
	if err != nil {
		return Salt{}, false
	}
	return Salt{Model: model, Version: version, Account: account}, true
}

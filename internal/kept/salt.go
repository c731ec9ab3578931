package kept

import (
	"net/url"
	"strconv"
	"strings"
)

// Salt tells what a request's parts are shared with: requests for the same version
// of a model's weights, and for an isolated client account only its own.
type Salt struct {
	Model   string
	Version int64
	Account string // of an isolated client account, else empty
}

// saltFields is the number of fields of a salt's text.
const saltFields = 3

// String returns the text under which engines and stores keep the parts. The names
// are escaped, so that no model or account can look like another.
func (s Salt) String() string {
	return strconv.FormatInt(s.Version, 10) + "/" + url.PathEscape(s.Model) + "/" + url.PathEscape(s.Account)
}

// ParseSalt reads a salt's text back, and reports false for one that this package
// did not write.
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

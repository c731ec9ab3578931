package result

import (
	"regexp"
	"strconv"
)

// errorText matches the text that Error.Error returns.
var errorText = regexp.MustCompile(`^(\d{4}) [a-z_]+(?: \(([^)]*)\))?: (.*)$`)

// ParseText returns the Error with the code, field and message of a text that Error.Error
// returned, as stored in the log. ok is false for any other text.
func ParseText(text string) (e *Error, ok bool) {
	parts := errorText.FindStringSubmatch(text)
	if parts == nil {
		return nil, false
	}
	number, err := strconv.Atoi(parts[1])
	if err != nil {
		return nil, false
	}
	if _, known := byCode[Code(number)]; !known {
		return nil, false
	}
	return New(Code(number), WithField(parts[2]), WithMessage("%s", parts[3])), true
}

package processtest

import (
	"io"
	"strconv"
	"strings"
)

// ShortFields returns n bytes of HTTP header lines that are as short as they can be, with different names.
func ShortFields(n int) string {
	var lines strings.Builder
	for i := 0; lines.Len() < n; i++ {
		lines.WriteString(strconv.FormatInt(int64(i), 36) + "a:\r\n")
	}
	return lines.String()
}

// WriteForever writes a text again and again until that fails.
func WriteForever(w io.Writer, text string) error {
	for {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
	}
}

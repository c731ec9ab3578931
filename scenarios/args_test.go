package scenarios

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// args holds the arguments of a script command: names, key=value options, and a final "&" for
// running in the background.
type args struct {
	ts         *testscript.TestScript
	words      []string
	options    map[string]string
	background bool
	err        error
}

var optionName = regexp.MustCompile(`^[a-z_]+$`)

func parseArgs(ts *testscript.TestScript, words []string) *args {
	a := &args{ts: ts, options: make(map[string]string)}
	if n := len(words); n > 0 && words[n-1] == "&" {
		a.background, words = true, words[:n-1]
	}
	for _, word := range words {
		key, value, ok := strings.Cut(word, "=")
		if ok && optionName.MatchString(key) && !strings.HasPrefix(value, "=") {
			a.options[key] = value
			continue
		}
		a.words = append(a.words, word)
	}
	return a
}

// word returns the i-th name, or sets the error if there are fewer.
func (a *args) word(i int) string {
	if i < len(a.words) {
		return a.words[i]
	}
	a.err = fmt.Errorf("argument %d is missing", i+1)
	return ""
}

// text removes an option and returns its value, or def if it is not set.
func (a *args) text(key, def string) string {
	value, ok := a.options[key]
	if !ok {
		return def
	}
	delete(a.options, key)
	return value
}

func option[T any](a *args, key string, def T, parse func(string) (T, error)) T {
	text := a.text(key, "")
	if text == "" {
		return def
	}
	v, err := parse(text)
	if err != nil {
		a.err = fmt.Errorf("%s: %w", key, err)
	}
	return v
}

func (a *args) number(key string, def int) int { return option(a, key, def, strconv.Atoi) }

func (a *args) duration(key string, def time.Duration) time.Duration {
	return option(a, key, def, time.ParseDuration)
}

func (a *args) float(key string, def float64) float64 {
	return option(a, key, def, func(s string) (float64, error) { return strconv.ParseFloat(s, 64) })
}

func (a *args) flag(key string, def bool) bool { return option(a, key, def, strconv.ParseBool) }

// checkUnused returns the first parse error, or an error if the command didn't read an option.
func (a *args) checkUnused() error {
	if a.err != nil {
		return a.err
	}
	if len(a.options) > 0 {
		return fmt.Errorf("unknown options %v", slices.Sorted(maps.Keys(a.options)))
	}
	return nil
}

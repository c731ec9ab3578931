package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/result"
)

const valid = `{
 "node": {"id": "n1", "failure_domain": "north"},
 "callers": {"address": "127.0.0.1:8080"},
 "operators": {"address": "127.0.0.1:8081", "key_hash": "` + zeros + `"},
 "peers": {"address": "127.0.0.1:8082", "key": "0123456789abcdef"},
 "log": {"url": "http://127.0.0.1:9000"},
 "hosts": {"url": "http://127.0.0.1:9001", "poll_interval": "250ms"}
}`

const zeros = "0000000000000000000000000000000000000000000000000000000000000000"

func TestParseAppliesDefaults(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.json")
	must.NoError(t, os.WriteFile(file, []byte(valid), 0o600))
	s, err := Load(file)
	must.NoError(t, err)
	must.Eq(t, "n1", s.Node.ID)
	must.Eq(t, Duration(250*time.Millisecond), s.Hosts.PollInterval)
	must.Eq(t, Default().Requests, s.Requests)
}

func TestParseReportsCodeAndPath(t *testing.T) {
	cases := []struct {
		name, old, new, path string
		code                 result.Code
	}{
		{"unknown field in a group", `"log": {`, `"log": {"strem": "x", `, "/log", result.SettingUnknown},
		{"wrong unit", `"250ms"`, `"250"`, "/hosts/poll_interval", result.SettingUnit},
		{"wrong type", `"250ms"`, `250`, "/hosts/poll_interval", result.SettingType},
		{"missing field", `"id": "n1", `, ``, "/node", result.SettingMissing},
		{"clashing addresses", `127.0.0.1:8082`, `127.0.0.1:8080`, "/peers/address", result.SettingConflict},
		{"clash with a wildcard", `127.0.0.1:8082`, `0.0.0.0:8081`, "/peers/address", result.SettingConflict},
		{"host name", `127.0.0.1:8082`, `localhost:8082`, "/peers/address", result.SettingInvalid},
		{"unspecified peer address", `127.0.0.1:8082`, `0.0.0.0:8082`, "/peers/advertise", result.SettingInvalid},
		{"short key", `0123456789abcdef`, `short`, "/peers/key", result.SettingInvalid},
		{"negative duration", `"250ms"`, `"-1s"`, "/hosts/poll_interval", result.SettingInvalid},
		{"not JSON", `"log"`, `log`, "/", result.SettingInvalid},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(valid, c.old, c.new, 1)
			must.NotEq(t, valid, text)
			_, err := Parse([]byte(text))
			var problems Problems
			must.True(t, errors.As(err, &problems))
			must.Eq(t, c.path, problems[0].Path)
			must.Eq(t, c.code, problems[0].Code)
			must.StrHasPrefix(t, strconv.Itoa(int(c.code))+" ", err.Error())
		})
	}
}

// TestSchemaDefaultsAreCurrent checks that the defaults that the schema documents are
// those of the code.
func TestSchemaDefaultsAreCurrent(t *testing.T) {
	type node struct {
		Default    any             `json:"default"`
		Properties map[string]node `json:"properties"`
	}
	var schema node
	must.NoError(t, json.Unmarshal(Schema(), &schema))
	data, err := json.Marshal(Default())
	must.NoError(t, err)
	var defaults map[string]map[string]any
	must.NoError(t, json.Unmarshal(data, &defaults))
	for group, fields := range defaults {
		for field, value := range fields {
			stated := schema.Properties[group].Properties[field].Default
			if stated != nil {
				must.Eq(t, stated, value, must.Sprintf("%s.%s", group, field))
			}
		}
	}
}

var update = flag.Bool("update", false, "regenerate docs/SETTINGS.md")

func TestMarkdownCurrent(t *testing.T) {
	const page = "../../docs/SETTINGS.md"
	var want bytes.Buffer
	must.NoError(t, writeMarkdown(&want))
	if *update {
		must.NoError(t, os.WriteFile(page, want.Bytes(), 0o644))
	}
	got, err := os.ReadFile(page)
	must.NoError(t, err)
	must.Eq(t, want.String(), string(got), must.Sprint("run: go test ./internal/settings -update"))
}

// fieldPaths returns the JSON paths of all fields of a settings struct.
func fieldPaths(prefix string, typ reflect.Type) (paths []string) {
	for i := range typ.NumField() {
		f := typ.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		path := strings.TrimPrefix(prefix+"."+name, ".")
		inner := f.Type
		if inner.Kind() == reflect.Pointer {
			inner = inner.Elem()
		}
		switch {
		case f.Anonymous:
			paths = append(paths, fieldPaths(prefix, inner)...)
		case inner.Kind() == reflect.Struct:
			paths = append(paths, fieldPaths(path, inner)...)
		default:
			paths = append(paths, path)
		}
	}
	return paths
}

// TestMarkdownHasEveryField checks that the page has a row with a description for every
// field of the struct.
func TestMarkdownHasEveryField(t *testing.T) {
	var page bytes.Buffer
	must.NoError(t, writeMarkdown(&page))
	for _, path := range fieldPaths("", reflect.TypeFor[Settings]()) {
		row := regexp.MustCompile("(?m)^\\| `" + regexp.QuoteMeta(path) + "` \\|.*\\| [^|]+\\. \\|$")
		must.True(t, row.MatchString(page.String()), must.Sprint(path))
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"node":{"stop_timeout":"1e9h"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err == nil && s.Peers.Key == "" {
			t.Fatal("Parse accepted settings without a key for peers")
		}
	})
}

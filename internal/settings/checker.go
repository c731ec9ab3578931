package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"github.com/cherryward/cherryward/internal/result"
)

// Checker validates JSON documents against a schema. It is safe for concurrent use.
type Checker struct {
	compiled func() (*jsonschema.Schema, error)
}

// NewChecker returns a checker for a JSON schema, which may use the format "go-duration".
func NewChecker(name string, schema []byte) *Checker {
	return &Checker{sync.OnceValues(func() (*jsonschema.Schema, error) { return compile(name, schema) })}
}

func compile(name string, schema []byte) (*jsonschema.Schema, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		return nil, err
	}
	c := jsonschema.NewCompiler()
	c.RegisterFormat(&jsonschema.Format{Name: "go-duration", Validate: checkDuration})
	c.AssertFormat()
	if err := c.AddResource(name, doc); err != nil {
		return nil, err
	}
	return c.Compile(name)
}

var errNotPositive = errors.New("want more than 0")

func checkDuration(v any) error {
	s, ok := v.(string)
	if !ok {
		return nil // the schema's type keyword reports this
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		return errors.New(`want a number with a unit, such as "250ms" or "5m"`)
	}
	if d <= 0 {
		return errNotPositive
	}
	return nil
}

// Check returns the problems of a document, or nil if it is valid.
func (c *Checker) Check(data []byte) Problems {
	schema, err := c.compiled()
	if err != nil {
		return Problems{{Code: result.SettingInvalid, Path: "/", Message: "schema: " + err.Error()}}
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return Problems{{Code: result.SettingInvalid, Path: "/", Message: "not JSON: " + err.Error()}}
	}
	var invalid *jsonschema.ValidationError
	if errors.As(schema.Validate(doc), &invalid) {
		return appendLeafProblems(invalid, nil)
	}
	return nil
}

// Decode validates a document and decodes it into dst, which must hold the defaults.
func (c *Checker) Decode(data []byte, dst any) Problems {
	if problems := c.Check(data); len(problems) > 0 {
		return problems
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(dst); err != nil {
		return Problems{{Code: result.SettingInvalid, Path: "/", Message: err.Error()}}
	}
	return nil
}

// appendLeafProblems appends the innermost errors of e to a list, since these have the
// path of the field that is not valid.
func appendLeafProblems(e *jsonschema.ValidationError, to Problems) Problems {
	if len(e.Causes) == 0 {
		text := e.ErrorKind.LocalizedString(message.NewPrinter(language.English))
		return append(to, Problem{Code: codeOf(e.ErrorKind), Path: "/" + strings.Join(e.InstanceLocation, "/"), Message: text})
	}
	for _, cause := range e.Causes {
		to = appendLeafProblems(cause, to)
	}
	return to
}

// codeOf returns the result code of a schema error. It treats every format error as
// an invalid duration, since go-duration is the only format.
func codeOf(k jsonschema.ErrorKind) result.Code {
	switch k := k.(type) {
	case *kind.AdditionalProperties:
		return result.SettingUnknown
	case *kind.Type:
		return result.SettingType
	case *kind.Format:
		if errors.Is(k.Err, errNotPositive) {
			return result.SettingInvalid
		}
		return result.SettingUnit
	case *kind.Required:
		return result.SettingMissing
	}
	return result.SettingInvalid
}

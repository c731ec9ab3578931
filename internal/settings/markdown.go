package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

const markdownHead = `# Settings

Generated from ` + "`internal/settings/schema.json`" + ` by ` + "`go test ./internal/settings -update`" + `; a test
checks that this page is current.

A node reads one JSON file of settings at startup. It does not start if a field is
unknown, has the wrong type or is out of range, and reports the path of the field;
` + "`cherryward check --settings FILE`" + ` reports the same problems without starting. Durations are
written with a unit: ` + "`250ms`, `1.5s`, `2m0s`, `1h`" + `.
`

const tableHead = `
| Field | Type | Unit | Default | Effect |
|---|---|---|---|---|
`

const (
	required  = "(required)"
	noValue   = "-"
	defPrefix = "#/$defs/"
)

// fieldSchema is the schema of one field, with the JSON Schema keywords that schema.json
// uses.
type fieldSchema struct {
	Ref         string                 `json:"$ref"`
	Defs        map[string]fieldSchema `json:"$defs"`
	Type        string                 `json:"type"`
	Format      string                 `json:"format"`
	Pattern     string                 `json:"pattern"`
	MinLength   int                    `json:"minLength"`
	Minimum     *float64               `json:"minimum"`
	Maximum     *float64               `json:"maximum"`
	Enum        []string               `json:"enum"`
	Default     json.RawMessage        `json:"default"`
	Description string                 `json:"description"`
	Required    []string               `json:"required"`
	Properties  properties             `json:"properties"`
}

// properties holds the fields of an object in the order of the file.
type properties []property

type property struct {
	name   string
	schema fieldSchema
}

var _ json.Unmarshaler = (*properties)(nil)

// UnmarshalJSON implements json.Unmarshaler.
func (p *properties) UnmarshalJSON(data []byte) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	if _, err := dec.Token(); err != nil { // the opening brace
		return err
	}
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return err
		}
		var schema fieldSchema
		if err := dec.Decode(&schema); err != nil {
			return err
		}
		*p = append(*p, property{name: fmt.Sprint(name), schema: schema})
	}
	return nil
}

// writeMarkdown writes the table of all settings as a Markdown page.
func writeMarkdown(w io.Writer) error {
	var root fieldSchema
	if err := json.Unmarshal(Schema(), &root); err != nil {
		return eris.Wrap(err, "decode the settings schema")
	}
	page := &markdownPage{defs: root.Defs}
	page.WriteString(markdownHead)
	for _, group := range root.Properties {
		fmt.Fprintf(page, "\n## %s\n\n%s\n%s", group.name, group.schema.Description, tableHead)
		page.rows(group.name, group.schema)
	}
	_, err := page.WriteTo(w)
	return err
}

// markdownPage is a buffer for the page, with the schema's definitions.
type markdownPage struct {
	bytes.Buffer
	defs map[string]fieldSchema
}

// rows writes a table row for each field of an object, including nested objects.
func (m *markdownPage) rows(path string, object fieldSchema) {
	for _, p := range object.Properties {
		field := m.resolve(p.schema)
		full := path + "." + p.name
		defaultText := defaultOf(field, slices.Contains(object.Required, p.name))
		fmt.Fprintf(m, "| `%s` | %s | %s | %s | %s |\n", full, typeOf(field), unitOf(p.name, field), defaultText, field.Description)
		m.rows(full, field)
	}
}

// resolve returns the definition that a field references, with the field's description
// and default, or the field itself if it has no reference.
func (m *markdownPage) resolve(field fieldSchema) fieldSchema {
	name, ok := strings.CutPrefix(field.Ref, defPrefix)
	if !ok {
		return field
	}
	def := m.defs[name]
	def.Description, def.Default = field.Description, field.Default
	return def
}

func typeOf(f fieldSchema) string {
	switch {
	case len(f.Enum) > 0:
		return "one of `" + strings.Join(f.Enum, "`, `") + "`"
	case f.Format != "":
		return "duration"
	case f.Pattern != "":
		return f.Type + " like `" + strings.ReplaceAll(f.Pattern, "|", `\|`) + "`"
	case f.MinLength > 1:
		return fmt.Sprintf("%s of %d characters or more", f.Type, f.MinLength)
	case f.Minimum != nil && f.Maximum != nil:
		return fmt.Sprintf("%s, %.0f to %.0f", f.Type, *f.Minimum, *f.Maximum)
	}
	return f.Type
}

func unitOf(name string, f fieldSchema) string {
	switch {
	case f.Format != "":
		return "in the value"
	case strings.HasSuffix(name, "_bytes"):
		return "bytes"
	}
	return noValue
}

func defaultOf(f fieldSchema, isRequired bool) string {
	switch {
	case isRequired:
		return required
	case len(f.Default) > 0:
		return "`" + strings.Trim(string(f.Default), `"`) + "`"
	}
	return noValue
}

package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/cherryward/cherryward/api/wire/enginewire"
)

var (
	errTrailing      = errors.New("decode frame: more than one JSON value")
	errEmpty         = errors.New("decode frame: no JSON value")
	errNotJSONString = errors.New("decode frame: value is not a JSON string")
)

// frameDecoder decodes frames one after the other. It reuses the JSON decoder and the strings that
// are the same in all frames of a run, so that decoding a token allocates only its text. The zero
// value is ready for use.
type frameDecoder struct {
	reader bytes.Reader
	json   *json.Decoder
	wire   wireFrame

	run, incarnation, kind cachedString
}

// wireFrame decodes the repeated fields as raw JSON strings; its fields hide those of the same JSON
// name in Frame.
type wireFrame struct {
	enginewire.Frame
	Run         rawString `json:"run"`
	Incarnation rawString `json:"incarnation"`
	Kind        rawString `json:"kind"`
}

// decode decodes data, which must be one JSON value, into frame. After an error the content of
// frame is undefined.
func (d *frameDecoder) decode(data []byte, frame *enginewire.Frame) error {
	if err := d.read(bytes.TrimSpace(data)); err != nil {
		d.json = nil // the decoder keeps its error, and its buffered input must not reach the next frame
		return err
	}
	*frame = d.wire.Frame
	frame.Run = d.run.decode(d.wire.Run)
	frame.Incarnation = d.incarnation.decode(d.wire.Incarnation)
	frame.Kind = enginewire.FrameKind(d.kind.decode(d.wire.Kind))
	return nil
}

func (d *frameDecoder) read(data []byte) error {
	if d.json == nil {
		d.json = json.NewDecoder(&d.reader)
	}
	w := &d.wire
	*w = wireFrame{Run: w.Run[:0], Incarnation: w.Incarnation[:0], Kind: w.Kind[:0]}
	d.reader.Reset(data)
	start := d.json.InputOffset()
	err := d.json.Decode(w)
	if errors.Is(err, io.EOF) {
		return errEmpty // to callers, io.EOF means the end of the stream
	}
	if err != nil {
		return err
	}
	if d.json.InputOffset() != start+int64(len(data)) {
		return errTrailing
	}
	return nil
}

// rawString is a JSON string including its quotes, or empty.
type rawString []byte

// UnmarshalJSON implements json.Unmarshaler. As for a Go string, null leaves the value unchanged.
func (s *rawString) UnmarshalJSON(data []byte) error {
	if data[0] == '"' {
		*s = append((*s)[:0], data...)
		return nil
	}
	if string(data) == "null" {
		return nil
	}
	return errNotJSONString
}

// cachedString caches the last decoded value of a field that rarely changes.
type cachedString struct {
	raw  rawString
	text string
}

// decode returns the string in raw, which must be valid JSON or empty.
func (c *cachedString) decode(raw rawString) string {
	if bytes.Equal(raw, c.raw) {
		return c.text
	}
	c.raw, c.text = append(c.raw[:0], raw...), ""
	if len(raw) > 0 {
		_ = json.Unmarshal(raw, &c.text) // can't fail: the JSON decoder has checked it
	}
	return c.text
}

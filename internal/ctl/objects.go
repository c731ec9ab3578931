package ctl

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"google.golang.org/protobuf/encoding/protojson"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/internal/config"
)

// maxFileBytes bounds an input file; it suffices for more than 12,000 endpoints.
const maxFileBytes = 64 << 20

// parsedObject is one object of an input file.
type parsedObject struct {
	kind  config.Kind
	value config.Value
	// revision is the revision that the write is based on, or 0 if the file has none.
	revision int64
}

func (o parsedObject) id() string { return string(o.kind) + "/" + o.value.GetName() }

// readObjects reads one object, a list of objects, or a sequence of both. It validates
// every object and returns them in an order in which they can be created.
func readObjects(r io.Reader) ([]parsedObject, error) {
	decoder := json.NewDecoder(io.LimitReader(r, maxFileBytes))
	var objects []parsedObject
	for {
		var raw json.RawMessage
		err := decoder.Decode(&raw)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, usagef("after %d objects: not valid JSON: %w", len(objects), err)
		}
		elements, err := splitList(raw)
		if err != nil {
			return nil, err
		}
		for _, element := range elements {
			o, err := parseObject(element)
			if err != nil {
				return nil, usagef("object %d: %w", len(objects)+1, err)
			}
			objects = append(objects, o)
		}
	}
	if len(objects) == 0 {
		return nil, usagef("no objects given")
	}
	slices.SortStableFunc(objects, func(a, b parsedObject) int {
		return slices.Index(config.Kinds(), a.kind) - slices.Index(config.Kinds(), b.kind)
	})
	return objects, nil
}

// splitList returns the elements of a JSON list, or raw itself if it is not a list.
func splitList(raw json.RawMessage) ([]json.RawMessage, error) {
	if !bytes.HasPrefix(raw, []byte("[")) {
		return []json.RawMessage{raw}, nil
	}
	var elements []json.RawMessage
	if err := json.Unmarshal(raw, &elements); err != nil {
		return nil, usagef("list: %w", err)
	}
	return elements, nil
}

func parseObject(raw json.RawMessage) (parsedObject, error) {
	message := new(pb.Object)
	if err := protojson.Unmarshal(raw, message); err != nil {
		return parsedObject{}, err
	}
	value, err := config.FromObject(message)
	if err != nil {
		return parsedObject{}, err
	}
	if err := config.Validate(value); err != nil {
		return parsedObject{}, fmt.Errorf("%q: %w", value.GetName(), err)
	}
	return parsedObject{kind: config.KindOf(value), value: value, revision: message.GetRevision()}, nil
}

// writeObjects writes objects as a JSON list, which the apply command can read.
func writeObjects(w io.Writer, objects []*pb.Object) error {
	list := make([]json.RawMessage, 0, len(objects))
	for _, o := range objects {
		raw, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(o)
		if err != nil {
			return err
		}
		list = append(list, raw)
	}
	return writeJSON(w, list)
}

func writeJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

package changelog

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// imageContent is a complete state as encoded in checkpoints and in responses to
// peers. It includes the deduplication window, since the reducer depends on it.
type imageContent struct {
	Applied      int64          `json:"applied"`
	EvictedUpTo  int64          `json:"floor,omitempty"`
	MaxOldOffset int64          `json:"old_newest,omitempty"`
	Objects      []imageObject  `json:"objects"`
	Young        []imageOutcome `json:"young"`
	Old          []imageOutcome `json:"old,omitempty"`
}

type imageObject struct {
	Kind     string          `json:"k"`
	Key      string          `json:"n"`
	Revision int64           `json:"r"`
	Created  int64           `json:"c"`
	Value    json.RawMessage `json:"v"`
}

type imageOutcome struct {
	ID string `json:"i"`
	Outcome
}

// maxImageSize is the maximum size of a decompressed image in bytes.
const maxImageSize = 128 << 20

var errDamagedImage = errors.New("state image is damaged")

// encodeImage returns the image of a state: its imageContent as compressed JSON.
// For the same state, all nodes that run the same release return the same bytes.
func encodeImage[V any](s *Snapshot[V], w *dedupWindow) ([]byte, error) {
	im := imageContent{
		Applied:      s.applied,
		EvictedUpTo:  w.evictedUpTo,
		MaxOldOffset: w.maxOldOffset,
		Objects:      imageObjects(s),
		Young:        imageOutcomes(w.young),
		Old:          imageOutcomes(w.old),
	}
	plain, err := encode(im)
	if err != nil {
		return nil, err
	}
	var buf bytes.Buffer
	gz := gzip.NewWriter(&buf)
	if _, err := gz.Write(plain); err != nil {
		return nil, err
	}
	if err := gz.Close(); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

func imageObjects[V any](s *Snapshot[V]) []imageObject {
	all := slices.SortedFunc(s.All(), compareNames)
	list := make([]imageObject, 0, len(all))
	for _, o := range all {
		list = append(list, imageObject{o.Kind, o.Key, o.Revision, o.Created, o.raw})
	}
	return list
}

func imageOutcomes(m map[string]Outcome) []imageOutcome {
	list := make([]imageOutcome, 0, len(m))
	for id, o := range m {
		list = append(list, imageOutcome{id, o})
	}
	slices.SortFunc(list, func(a, b imageOutcome) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// decodeImage returns a reducer with the state of the image. It returns an error
// that wraps errDamagedImage if the image or one of its values cannot be decoded.
func decodeImage[V any](schema Schema[V], data []byte) (*reducer[V], error) {
	im, err := unpackImage(data)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errDamagedImage, err)
	}
	r := newReducer(schema)
	for _, o := range im.Objects {
		value, err := schema.Decode(o.Kind, o.Value)
		if err != nil {
			return nil, fmt.Errorf("%w: %s %q: %v", errDamagedImage, o.Kind, o.Key, err)
		}
		r.draft.put(Object[V]{Name{o.Kind, o.Key}, o.Revision, o.Created, value, o.Value})
	}
	r.draft.applied = im.Applied
	r.window.evictedUpTo = im.EvictedUpTo
	r.window.maxOldOffset = im.MaxOldOffset
	for _, o := range im.Young {
		r.window.young[o.ID] = o.Outcome
	}
	for _, o := range im.Old {
		r.window.old[o.ID] = o.Outcome
	}
	return r, nil
}

func unpackImage(data []byte) (im imageContent, err error) {
	gz, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return im, err
	}
	plain, err := io.ReadAll(io.LimitReader(gz, maxImageSize+1))
	if err != nil {
		return im, err
	}
	if len(plain) > maxImageSize {
		return im, fmt.Errorf("decompressed image exceeds %d bytes", maxImageSize)
	}
	err = json.Unmarshal(plain, &im)
	return im, err
}

func imageChecksum(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// partOverhead is the size reserved in a part's record for everything except its
// data, in bytes.
const partOverhead = 512

// splitImage splits an image into parts whose records do not exceed maxRecord
// bytes.
func splitImage(mark int64, data []byte, maxRecord int) []part {
	chunk := (maxRecord - partOverhead) / 4 * 3 // the record holds the data in base64
	sum := imageChecksum(data)
	var parts []part
	for piece := range slices.Chunk(data, chunk) {
		parts = append(parts, part{Mark: mark, Index: len(parts), Sum: sum, Data: piece})
	}
	for i := range parts {
		parts[i].Total = len(parts)
	}
	return parts
}

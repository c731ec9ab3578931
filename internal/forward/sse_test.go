package forward

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// chunkedReader returns text in reads of the given sizes, then err.
type chunkedReader struct {
	text  string
	sizes []int
	err   error
}

func (p *chunkedReader) Read(b []byte) (int, error) {
	if p.text == "" {
		return 0, p.err
	}
	n := len(p.text)
	if len(p.sizes) > 0 {
		n, p.sizes = min(n, p.sizes[0]), p.sizes[1:]
	}
	n = copy(b, p.text[:n])
	p.text = p.text[n:]
	return n, nil
}

// readEvents reads to the end and returns the complete events and the incomplete rest.
func readEvents(r *eventReader) (events, rest string, err error) {
	var b strings.Builder
	for {
		complete, err := r.next()
		b.Write(complete)
		if err != nil {
			return b.String(), string(r.incomplete()), err
		}
	}
}

var errBroken = errors.New("broken")

// TestAnySplitOfAStream checks that the complete events returned do not depend on how the stream is
// split into reads, and that nothing of an incomplete event is returned, wherever the stream breaks
// off.
func TestAnySplitOfAStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"id: 1", "data: x", ":", "\n", "\r\n", "\r", "\n\n", "\r\n\r\n"}), 0, 20).Draw(t, "text"), "")
		text = text[:rapid.IntRange(0, len(text)).Draw(t, "break")]
		sizes := rapid.SliceOfN(rapid.IntRange(0, 4), 0, 60).Draw(t, "reads")
		end := rapid.SampledFrom([]error{io.EOF, errBroken}).Draw(t, "end")
		events, rest, err := readEvents(&eventReader{body: &chunkedReader{text: text, sizes: sizes, err: end}})
		must.ErrorIs(t, err, end)
		must.Eq(t, text, events+rest)
		want := new(blockScanner).scan([]byte(text), end != io.EOF)
		must.Eq(t, text[:want], events)
		bytewise, bytewiseRest, _ := readEvents(&eventReader{body: iotest.OneByteReader(&chunkedReader{text: text, err: end})})
		must.Eq(t, events, bytewise)
		must.Eq(t, rest, bytewiseRest)
	})
}

// FuzzEvents checks that the complete events end with an empty line and that the rest contains
// none.
func FuzzEvents(f *testing.F) {
	for _, seed := range []string{"", "id: 1\ndata: x\n\n", "id: 1\r\n\r\ndata", "\r\r", ": ping\n\nid:2", "data: a\n\r\nid: b\n\n", "\n\r\r\n", "id\n\nid:\n\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		end := new(blockScanner).scan(b, false)
		plain := bytes.ReplaceAll(bytes.ReplaceAll(b, []byte("\r\n"), []byte("\n")), []byte("\r"), []byte("\n"))
		lines := strings.Split(string(plain), "\n")
		last := len(lines) - 2 // the last element is the text after the last line end
		for last >= 0 && lines[last] != "" {
			last--
		}
		rest := strings.Join(lines[last+1:], "\n")
		got := strings.ReplaceAll(strings.ReplaceAll(string(b[end:]), "\r\n", "\n"), "\r", "\n")
		must.Eq(t, rest, got)
		events := 0
		for e := range parseEvents(b[:end]) {
			must.True(t, e.hasID || e.hasData)
			events++
		}
		must.Eq(t, events > 0, holdsEvent(b[:end]))
	})
}

// TestParseEvents checks which events are found and which ids they have.
func TestParseEvents(t *testing.T) {
	tests := map[string][]event{
		"id: 1\ndata: x\n\n":                {{id: "1", hasID: true, hasData: true}},
		"data: x\nid:2\n\n":                 {{id: "2", hasID: true, hasData: true}},
		"id: 1\nid: 2\n\n":                  {{id: "2", hasID: true}},
		": id: 1\n\nretry: 5\n\n":           nil,
		"data: id: 7\n\n":                   {{hasData: true}},
		"identity: 7\ndata\n\n":             {{hasData: true}},
		"id\ndata: x\r\n\r\nid: 3\r\rdata:": {{hasID: true, hasData: true}, {id: "3", hasID: true}},
	}
	for text, want := range tests {
		var got []event
		for e := range parseEvents([]byte(text)) {
			got = append(got, e)
		}
		must.Eq(t, want, got, must.Sprintf("%q", text))
	}
}

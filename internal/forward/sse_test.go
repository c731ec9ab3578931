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

// pieces reads a text in pieces of given sizes, then fails with err.
type pieces struct {
	text  string
	sizes []int
	err   error
}

func (p *pieces) Read(b []byte) (int, error) {
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

// readAll returns what a reader gives as whole events, and the rest.
func readEvents(r *eventReader) (events, rest string, err error) {
	var b strings.Builder
	for {
		whole, err := r.next()
		b.Write(whole)
		if err != nil {
			return b.String(), string(r.rest()), err
		}
	}
}

var errBroken = errors.New("broken")

// TestAnySplitOfAStream: however a stream is split into reads, and wherever it breaks, the same
// whole events come, and nothing of one that is not whole.
func TestAnySplitOfAStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"id: 1", "data: x", ":", "\n", "\r\n", "\r", "\n\n", "\r\n\r\n"}), 0, 20).Draw(t, "text"), "")
		text = text[:rapid.IntRange(0, len(text)).Draw(t, "break")]
		sizes := rapid.SliceOfN(rapid.IntRange(0, 4), 0, 60).Draw(t, "reads")
		end := rapid.SampledFrom([]error{io.EOF, errBroken}).Draw(t, "end")
		events, rest, err := readEvents(&eventReader{body: &pieces{text: text, sizes: sizes, err: end}})
		must.ErrorIs(t, err, end)
		must.Eq(t, text, events+rest)
		want := eventsEnd([]byte(text), end != io.EOF)
		must.Eq(t, text[:want], events)
		whole, halves, _ := readEvents(&eventReader{body: iotest.OneByteReader(&pieces{text: text, err: end})})
		must.Eq(t, events, whole)
		must.Eq(t, rest, halves)
	})
}

// FuzzEvents: events end with an empty line, and the rest holds none.
func FuzzEvents(f *testing.F) {
	for _, seed := range []string{"", "id: 1\ndata: x\n\n", "id: 1\r\n\r\ndata", "\r\r", ": ping\n\nid:2", "data: a\n\r\nid: b\n\n", "\n\r\r\n", "id\n\nid:\n\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		end := eventsEnd(b, false)
		plain := bytes.ReplaceAll(bytes.ReplaceAll(b, []byte("\r\n"), []byte("\n")), []byte("\r"), []byte("\n"))
		lines := strings.Split(string(plain), "\n")
		last := len(lines) - 2 // the last element is what follows the last line's end
		for last >= 0 && lines[last] != "" {
			last--
		}
		rest := strings.Join(lines[last+1:], "\n")
		got := strings.ReplaceAll(strings.ReplaceAll(string(b[end:]), "\r\n", "\n"), "\r", "\n")
		must.Eq(t, rest, got)
		for e := range eventsOf(b[:end]) {
			must.True(t, e.named || e.data)
		}
	})
}

// TestIDs tells which events are seen, and by which ids.
func TestIDs(t *testing.T) {
	tests := map[string][]event{
		"id: 1\ndata: x\n\n":                {{id: "1", named: true, data: true}},
		"data: x\nid:2\n\n":                 {{id: "2", named: true, data: true}},
		"id: 1\nid: 2\n\n":                  {{id: "2", named: true}},
		": id: 1\n\nretry: 5\n\n":           nil,
		"data: id: 7\n\n":                   {{data: true}},
		"identity: 7\ndata\n\n":             {{data: true}},
		"id\ndata: x\r\n\r\nid: 3\r\rdata:": {{named: true, data: true}, {id: "3", named: true}},
	}
	for text, want := range tests {
		var got []event
		for e := range eventsOf([]byte(text)) {
			got = append(got, e)
		}
		must.Eq(t, want, got, must.Sprintf("%q", text))
	}
}

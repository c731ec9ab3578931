package capacity

import (
	"fmt"
	"io"
	"strings"
)

// WriteMarkdown writes all tables for docs/CAPACITY.md.
func WriteMarkdown(w io.Writer) error {
	for _, t := range NewModel().tables() {
		if err := t.markdown(w); err != nil {
			return err
		}
	}
	return nil
}

// WriteText writes all tables for a terminal.
func WriteText(w io.Writer) error {
	for _, t := range NewModel().tables() {
		if err := t.text(w); err != nil {
			return err
		}
	}
	return nil
}

func (m *Model) tables() []*table {
	return []*table{m.sizeTable(), m.controlTable(), m.roleTable(), m.messageTable(), m.requestTable(), m.lossTable(), m.slopeTable(), m.commandTable()}
}

func (m *Model) sizeTable() *table {
	s := m.Size
	t := &table{title: "Size", note: "What one node has of it follows by division; nothing here is measured.", head: []string{"what", "all", "a node"}}
	t.add("nodes", formatNumber(float64(s.Nodes), valueDigits), "1")
	t.add("servers (endpoints)", formatNumber(float64(s.Servers), valueDigits), formatNumber(s.OwnedPerNode(), valueDigits))
	t.add("requests a second", formatNumber(s.Requests, valueDigits), formatNumber(s.RequestsPerNode(), valueDigits))
	t.add("tokens generated a second", formatNumber(s.Tokens, valueDigits), formatNumber(s.TokensPerNode(), valueDigits))
	t.add("open streams (tokens a second x 66 ms)", formatNumber(s.StreamsPerNode()*float64(s.Nodes), valueDigits), formatNumber(s.StreamsPerNode(), valueDigits))
	t.add("returning prompts", formatNumber(float64(s.Returning), valueDigits), formatNumber(float64(s.Returning)/float64(s.Nodes), valueDigits))
	t.add("blocks stored for them (assumed: 240,000 bytes each, 4 a token, blocks of 2,048 tokens)", formatNumber(m.StoredBlocksPerNode()*float64(s.Nodes), valueDigits), formatNumber(m.StoredBlocksPerNode(), valueDigits))
	t.add("changes of configuration a second", formatNumber(s.ChangesPerSecond(), valueDigits), "the same")
	t.add("seconds from one replacement of a host to the next", formatNumber(secondsPerDay/s.Replaced, valueDigits), formatNumber(secondsPerDay/s.Replaced*float64(s.Nodes), valueDigits))
	return t
}

func (m *Model) controlTable() *table {
	t := &table{title: "Control against the budget", note: "Of one node. A dash: no part of the cost, or contained in another line. The last two columns are parts of the whole budget.",
		head: []string{"role", "what", "worked out from", "% of a core", "MB", "B/s, both ways", "core / budget", "bytes / budget"}}
	lines := append(m.Standing(), m.Base()...)
	for _, l := range lines {
		t.add(string(l.Role), l.What, l.Basis, l.Core.Times(percent).inUnit(1), l.Memory.inUnit(mega), l.Bytes.inUnit(1), l.Core.shareOf(Control.Core), l.Bytes.shareOf(Control.Bytes))
	}
	core := Sum(lines, CoreOf)
	memory := Sum(lines, MemoryOf)
	bytes := Sum(lines, BytesOf)
	t.add("", "**sum**", "", core.Times(percent).inUnit(1), memory.inUnit(mega), bytes.inUnit(1), core.shareOf(Control.Core), bytes.shareOf(Control.Bytes))
	t.add("", "**budget**", "", formatNumber(Control.Core*percent, valueDigits), formatNumber(Control.Memory/mega, valueDigits), formatNumber(Control.Bytes, valueDigits), "1", "1")
	t.add("", "**sum / budget**", "", core.shareOf(Control.Core), memory.shareOf(Control.Memory), bytes.shareOf(Control.Bytes), "", "")
	return t
}

func (m *Model) messageTable() *table {
	t := &table{title: "Coordination of one request", note: "A prompt of 240,000 bytes that returns. Both ends together; the owners' own work is not in it.",
		head: []string{"role", "call", "how many", "ms of a core", "B, sent and received", "at 97 requests/s: % of a core", "B/s"}}
	lines, rate := m.Messages(), m.Size.RequestsPerNode()
	for _, l := range lines {
		if l.NotMeasured {
			t.add(string(l.Role), l.What, l.Basis, notMeasured, notMeasured, notMeasured, notMeasured)
			continue
		}
		t.add(string(l.Role), l.What, l.Basis, l.Core.Times(msPerSecond).inUnit(1), l.Bytes.inUnit(1), l.Core.Times(rate*percent).inUnit(1), l.Bytes.Times(rate).inUnit(1))
	}
	core := Sum(lines, CoreOf)
	bytes := Sum(lines, BytesOf)
	t.add("", "**sum of what is measured**", "", core.Times(msPerSecond).inUnit(1), bytes.inUnit(1), core.Times(rate*percent).inUnit(1), bytes.Times(rate).inUnit(1))
	return t
}

func (m *Model) requestTable() *table {
	t := &table{title: "Processor time of one request", note: "As the code is today, at 1,000 nodes; all nodes together.",
		head: []string{"role", "what", "worked out from", "ms of a core", "at 97 requests/s: % of a core"}}
	lines, rate := m.Request(), m.Size.RequestsPerNode()
	for _, l := range lines {
		t.add(string(l.Role), l.What, l.Basis, l.Core.Times(msPerSecond).inUnit(1), l.Core.Times(rate*percent).inUnit(1))
	}
	core := Sum(lines, CoreOf)
	t.add("", "**sum**", "", core.Times(msPerSecond).inUnit(1), core.Times(rate*percent).inUnit(1))
	streams := m.Slope(StreamMemory).PerUnit().Times(m.Size.StreamsPerNode())
	t.note += fmt.Sprintf(" Beside it, %s open streams take %s MB at a node.", formatNumber(m.Size.StreamsPerNode(), valueDigits), streams.inUnit(1))
	return t
}

func (m *Model) lossTable() *table {
	t := &table{title: "Losses", note: "Numbers follow from the sizes; *known* is measured at 1,000 members: seconds p50 / p99 / all pairs.",
		head: []string{"event", "nodes", "servers", "endpoints with a new owner", "streams to resume", "MB of store lists read anew", "s of a core for that", "prompts whose stored blocks are out of reach", "known, s"}}
	for _, l := range m.Losses() {
		t.add(l.Event, formatNumber(l.Nodes, valueDigits), formatNumber(l.Servers, valueDigits), formatNumber(l.Endpoints, valueDigits), formatNumber(l.Streams, valueDigits),
			l.Listed.inUnit(mega), l.Reading.inUnit(1), formatNumber(l.Prompts, valueDigits), l.Known)
	}
	return t
}

func (m *Model) slopeTable() *table {
	t := &table{title: "Slopes", note: "Least squares; ± is the residual of the fit, in the unit. Load is the machine's load average, of 12 cores.",
		head: []string{"slope", "what", "unit", "points (size: value)", "fit", "±", "load"}}
	for i := range m.Slopes {
		s := &m.Slopes[i]
		f, ok := s.Fit()
		if !ok {
			t.add(string(s.ID), s.Title, s.Unit, notMeasured, "", "", "")
			continue
		}
		t.add(string(s.ID), s.Title, s.Unit, s.pointsText(), s.fitText(f), formatNumber(f.Residual, errorDigits), s.Load)
	}
	return t
}

func (s *Slope) pointsText() string {
	parts := make([]string, len(s.Points))
	for i, p := range s.Points {
		parts[i] = formatExact(p.Size) + ": " + formatExact(p.Value)
	}
	return s.Per + " " + strings.Join(parts, ", ")
}

func (s *Slope) fitText(f Fit) string {
	if s.Growth == Flat {
		return formatNumber(f.Intercept, valueDigits) + ", flat"
	}
	return fmt.Sprintf("%s + %s x %s", formatNumber(f.Intercept, valueDigits), formatNumber(f.Slope, valueDigits), s.Per)
}

func (m *Model) commandTable() *table {
	t := &table{title: "Commands", note: "Each measures its slopes again.", head: []string{"command", "slopes"}}
	var order []string
	byCommand := make(map[string][]string)
	for _, s := range m.Slopes {
		if _, ok := byCommand[s.Command]; !ok {
			order = append(order, s.Command)
		}
		byCommand[s.Command] = append(byCommand[s.Command], string(s.ID))
	}
	for _, command := range order {
		t.add("`"+strings.ReplaceAll(command, "|", `\|`)+"`", strings.Join(byCommand[command], ", "))
	}
	return t
}

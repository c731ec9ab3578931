package capacity

import (
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"text/tabwriter"
)

// notMeasured is printed in place of an unknown figure.
const notMeasured = "not measured"

// table is one table of the output.
type table struct {
	title string
	note  string
	head  []string
	rows  [][]string
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

func (t *table) markdown(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "### %s\n\n", t.title)
	if t.note != "" {
		fmt.Fprintf(&b, "%s\n\n", t.note)
	}
	fmt.Fprintf(&b, "| %s |\n|%s\n", strings.Join(t.head, " | "), strings.Repeat("---|", len(t.head)))
	for _, row := range t.rows {
		fmt.Fprintf(&b, "| %s |\n", strings.Join(row, " | "))
	}
	_, err := fmt.Fprintln(w, b.String())
	return err
}

func (t *table) text(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "%s\n%s\n", t.title, t.note); err != nil {
		return err
	}
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{t.head}, t.rows...) {
		if _, err := fmt.Fprintln(out, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	if err := out.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(w)
	return err
}

// Numbers of significant digits of printed values and their errors.
const (
	valueDigits = 3
	errorDigits = 2
)

// formatNumber formats a value with the given number of significant digits and grouped
// thousands.
func formatNumber(v float64, digits int) string {
	if v == 0 || math.IsInf(v, 0) || math.IsNaN(v) {
		return strconv.FormatFloat(v, 'g', -1, 64)
	}
	exponent := int(math.Floor(math.Log10(math.Abs(v))))
	scale := math.Pow(10, float64(exponent-digits+1))
	rounded := math.Round(v/scale) * scale
	decimals := max(digits-1-int(math.Floor(math.Log10(math.Abs(rounded)))), 0)
	return groupThousands(strconv.FormatFloat(rounded, 'f', decimals, 64))
}

// formatExact formats a value without rounding.
func formatExact(v float64) string { return groupThousands(strconv.FormatFloat(v, 'f', -1, 64)) }

// groupThousands inserts commas between the thousands of a decimal number.
func groupThousands(text string) string {
	integer, fraction, hasFraction := strings.Cut(text, ".")
	sign := ""
	if strings.HasPrefix(integer, "-") {
		sign, integer = "-", integer[1:]
	}
	for at := len(integer) - 3; at > 0; at -= 3 {
		integer = integer[:at] + "," + integer[at:]
	}
	if hasFraction {
		integer += "." + fraction
	}
	return sign + integer
}

// inUnit formats a figure and its error, both divided by scale.
func (f Figure) inUnit(scale float64) string {
	if !f.Known {
		return "-"
	}
	text := formatNumber(f.Value/scale, valueDigits)
	if f.Error > 0 {
		text += " ± " + formatNumber(f.Error/scale, errorDigits)
	}
	return text
}

// shareOf formats a figure as a fraction of a budget.
func (f Figure) shareOf(budget float64) string {
	if !f.Known {
		return "-"
	}
	return formatNumber(f.Value/budget, errorDigits)
}

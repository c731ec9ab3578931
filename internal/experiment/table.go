package experiment

import (
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"
)

// WriteSummary writes a table by policy and class, and a table by policy: medians over seeds with
// their intervals.
func (f *File) WriteSummary(w io.Writer, runs []Run) error {
	fmt.Fprintf(w, "%s: %d policies, %d seeds; median [interval] over seeds\n\n", f.Name, len(f.Policies), len(f.Seeds))
	if err := f.writeClasses(w, runs); err != nil {
		return err
	}
	fmt.Fprintln(w)
	return f.writePolicies(w, runs)
}

func (f *File) writeClasses(w io.Writer, runs []Run) error {
	measures := Measures()
	head := []string{"POLICY", "CLASS"}
	for _, m := range measures {
		head = append(head, strings.ToUpper(m.Name))
	}
	rows := [][]string{head}
	for class, k := range f.Load {
		for _, p := range f.Policies {
			row := []string{p.Name, k.Name}
			for i := range measures {
				e := Median(withoutNaN(values(f.policyRuns(runs, p.Name), class, &measures[i])))
				row = append(row, e.format(measures[i].Decimals))
			}
			rows = append(rows, row)
		}
	}
	return writeRows(w, rows)
}

func (f *File) writePolicies(w io.Writer, runs []Run) error {
	rows := [][]string{{"POLICY", "READ AGAIN", "PREEMPTIONS", "RESENT"}}
	for _, p := range f.Policies {
		of := f.policyRuns(runs, p.Name)
		rows = append(rows, []string{
			p.Name,
			medianOf(of, func(r *Run) int { return r.RecomputedTokens }),
			medianOf(of, func(r *Run) int { return r.Preemptions }),
			medianOf(of, func(r *Run) int { return r.FailedOver }),
		})
	}
	return writeRows(w, rows)
}

func medianOf(runs []Run, count func(*Run) int) string {
	all := make([]float64, len(runs))
	for i := range runs {
		all[i] = float64(count(&runs[i]))
	}
	return Median(all).format(0)
}

// WriteComparison writes the differences between two policies, second minus first, in each figure of
// each class: the mean difference over the same seeds with its interval.
func (f *File) WriteComparison(w io.Writer, runs []Run, first, second string) error {
	fmt.Fprintf(w, "%s minus %s, same seeds; mean difference [95%% interval]; * where the interval excludes 0\n\n", second, first)
	measures := Measures()
	head := []string{"CLASS"}
	for _, m := range measures {
		head = append(head, strings.ToUpper(m.Name))
	}
	rows := [][]string{head}
	for class, k := range f.Load {
		row := []string{k.Name}
		for i := range measures {
			e := f.Compare(runs, class, &measures[i], first, second)
			row = append(row, e.formatSigned(measures[i].Decimals))
		}
		rows = append(rows, row)
	}
	return writeRows(w, rows)
}

func (e Estimate) format(decimals int) string {
	if math.IsNaN(e.Value) {
		return "-"
	}
	return fmt.Sprintf("%.*f [%.*f, %.*f]", decimals, e.Value, decimals, e.Low, decimals, e.High)
}

func (e Estimate) formatSigned(decimals int) string {
	if math.IsNaN(e.Value) {
		return "-"
	}
	mark := ""
	if e.Low > 0 || e.High < 0 {
		mark = " *"
	}
	return fmt.Sprintf("%+.*f [%+.*f, %+.*f]%s", decimals, e.Value, decimals, e.Low, decimals, e.High, mark)
}

func writeRows(w io.Writer, rows [][]string) error {
	tabs := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(tabs, strings.Join(row, "\t"))
	}
	return tabs.Flush()
}

package swlabcheck

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/sycamorewall/sycamorewall/lab/internal/swlabload"
)

// Compare writes a table of the values that differ between two reports.
func Compare(out io.Writer, before, after *Report) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "\tBEFORE\tAFTER\tCHANGE\t")
	addRow := func(name string, a, b float64) {
		if a != b {
			fmt.Fprintf(table, "%s\t%.4g\t%.4g\t%+.4g\t\n", name, a, b, b-a)
		}
	}
	for i := range before.Priorities {
		beforeLine := &before.Priorities[i]
		afterLine := after.findLine(beforeLine)
		name := fmt.Sprintf("%s %s %s ", beforeLine.Priority, beforeLine.Caller, beforeLine.Kind)
		for _, figure := range comparedFigures {
			addRow(name+figure.name, figure.value(beforeLine), figure.value(afterLine))
		}
	}
	addRow("Coverage", before.Coverage, after.Coverage)
	addRow("ExtraLoad", before.ExtraLoad, after.ExtraLoad)
	addRow("SubRequests", float64(before.SubRequests), float64(after.SubRequests))
	for _, call := range []string{"get", "list", "put", "watch", "vms"} {
		addRow("PlatformCalls "+call, float64(before.PlatformCalls[call]), float64(after.PlatformCalls[call]))
	}
	addRow("Violations", float64(before.Violations.Total()), float64(after.Violations.Total()))
	return table.Flush()
}

// comparedFigures lists the values of a line that Compare compares.
var comparedFigures = []struct {
	name  string
	value func(line *Line) float64
}{
	{"Offered", func(line *Line) float64 { return float64(line.Offered) }},
	{"Whole", func(line *Line) float64 { return float64(line.Whole) }},
	{"Refused", func(line *Line) float64 { return float64(line.Refused) }},
	{"Failed", func(line *Line) float64 { return float64(line.Failed) }},
	{"Wasted", func(line *Line) float64 { return float64(line.Wasted) }},
	{"P50", func(line *Line) float64 { return float64(line.P50) }},
	{"P99", func(line *Line) float64 { return float64(line.P99) }},
	{"P999", func(line *Line) float64 { return float64(line.P999) }},
}

// findLine returns the line with the priority, caller and kind of the given one. When the report has none, it returns an
// empty line.
func (report *Report) findLine(wanted *Line) *Line {
	for i := range report.Priorities {
		line := &report.Priorities[i]
		if line.Priority == wanted.Priority && line.Caller == wanted.Caller && line.Kind == wanted.Kind {
			return line
		}
	}
	return &Line{Line: swlabload.Line{Priority: wanted.Priority, Caller: wanted.Caller, Kind: wanted.Kind}}
}

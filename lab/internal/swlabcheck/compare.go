package swlabcheck

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/sycamorewall/sycamorewall/lab/internal/swlabload"
)

// Compare writes what differs between two reports.
func Compare(out io.Writer, before, after *Report) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "\tBEFORE\tAFTER\tCHANGE\t")
	row := func(name string, a, b float64) {
		if a != b {
			fmt.Fprintf(table, "%s\t%.4g\t%.4g\t%+.4g\t\n", name, a, b, b-a)
		}
	}
	for i := range before.Priorities {
		first := &before.Priorities[i]
		second := after.findLine(first)
		name := fmt.Sprintf("%s %s %s ", first.Priority, first.Caller, first.Kind)
		for _, figure := range comparedFigures {
			row(name+figure.name, figure.of(first), figure.of(second))
		}
	}
	row("Coverage", before.Coverage, after.Coverage)
	row("ExtraLoad", before.ExtraLoad, after.ExtraLoad)
	row("SubRequests", float64(before.SubRequests), float64(after.SubRequests))
	for _, call := range []string{"get", "list", "put", "watch", "vms"} {
		row("PlatformCalls "+call, float64(before.PlatformCalls[call]), float64(after.PlatformCalls[call]))
	}
	row("Violations", float64(before.Violations.Total()), float64(after.Violations.Total()))
	return table.Flush()
}

// figures are the figures of a line that are compared.
var comparedFigures = []struct {
	name string
	of   func(line *Line) float64
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

// line returns the line of the same priority, caller and kind, or an empty one.
func (report *Report) findLine(like *Line) *Line {
	for i := range report.Priorities {
		line := &report.Priorities[i]
		if line.Priority == like.Priority && line.Caller == like.Caller && line.Kind == like.Kind {
			return line
		}
	}
	return &Line{Line: swlabload.Line{Priority: like.Priority, Caller: like.Caller, Kind: like.Kind}}
}

package swlabcheck

import (
	"bytes"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// Dimensions of a plot, in pixels.
const (
	plotWidth  = 900
	plotHeight = 240
	plotMargin = 50
)

// priorityColours holds the line colour of each priority.
var priorityColours = [swrule.Priorities]string{"#c0392b", "#2471a3", "#7d8a2e"}

// Plot writes an SVG image of the 99th percentile of latency and the number of whole answers in each second, by priority.
func Plot(out io.Writer, report *Report) error {
	var svg bytes.Buffer
	height := 2*(plotHeight+plotMargin) + plotMargin
	fmt.Fprintf(&svg, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n",
		plotWidth+2*plotMargin, height)
	fmt.Fprintf(&svg, `<rect width="100%%" height="100%%" fill="white"/><text x="%d" y="20">%s, %s, seed %d</text>`+"\n",
		plotMargin, report.Scenario, report.User, report.Seed)
	report.writePanel(&svg, plotMargin, "99th percentile of latency, ms", func(bucket Bucket) float64 { return float64(bucket.P99) })
	report.writePanel(&svg, 2*plotMargin+plotHeight, "whole answers per second", func(bucket Bucket) float64 { return float64(bucket.Whole) })
	fmt.Fprintln(&svg, "</svg>")
	_, err := out.Write(svg.Bytes())
	return errors.Wrap(err, "write plot")
}

// writePanel draws one value over time, with a line for each priority.
func (report *Report) writePanel(svg *bytes.Buffer, top int, title string, value func(bucket Bucket) float64) {
	highest, last := 1.0, 1
	for _, bucket := range report.Timeline {
		highest, last = max(highest, value(bucket)), max(last, bucket.Second)
	}
	fmt.Fprintf(svg, `<rect x="%d" y="%d" width="%d" height="%d" fill="none" stroke="#999"/>`+"\n", plotMargin, top, plotWidth, plotHeight)
	fmt.Fprintf(svg, `<text x="%d" y="%d">%s</text><text x="4" y="%d">%.0f</text><text x="%d" y="%d">%d s</text>`+"\n",
		plotMargin+6, top+14, title, top+10, highest, plotMargin+plotWidth-24, top+plotHeight+14, last)
	for priority := range swrule.Priority(swrule.Priorities) {
		var points []string
		for _, bucket := range report.Timeline {
			if bucket.Priority != priority {
				continue
			}
			x := plotMargin + float64(plotWidth*bucket.Second)/float64(last)
			y := float64(top+plotHeight) - plotHeight*value(bucket)/highest
			points = append(points, fmt.Sprintf("%.1f,%.1f", x, y))
		}
		fmt.Fprintf(svg, `<polyline fill="none" stroke="%s" points="%s"/><text x="%d" y="%d" fill="%s">%s</text>`+"\n",
			priorityColours[priority], strings.Join(points, " "), plotMargin+6, top+30+14*int(priority), priorityColours[priority], priority)
	}
}

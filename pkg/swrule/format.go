package swrule

import (
	"strings"
	"unicode/utf8"
)

// actionWidth is the width of the longest action in characters.
const actionWidth = 6

// Format returns the file in its canonical form: keys in a fixed order with one space between them, comments aligned within
// each run of consecutive rules, and no more than one blank line in a row. It keeps all rules and comments in their order.
func (ruleSet *RuleSet) Format() string {
	var lines []string
	for start := 0; start < len(ruleSet.lines); {
		end := start
		for end < len(ruleSet.lines) && ruleSet.lines[end].rule >= 0 {
			end++
		}
		if end > start {
			lines = append(lines, ruleSet.formatRules(ruleSet.lines[start:end])...)
			start = end
			continue
		}
		lines = appendComment(lines, ruleSet.lines[start].comment)
		start++
	}
	return strings.TrimRight(strings.Join(lines, "\n"), "\n") + "\n"
}

// appendComment adds a comment or a blank line, unless the blank line would be the first or follow another.
func appendComment(lines []string, comment string) []string {
	if comment == "" && (len(lines) == 0 || lines[len(lines)-1] == "") {
		return lines
	}
	return append(lines, comment)
}

// formatRules formats a run of consecutive rules with aligned comments.
func (ruleSet *RuleSet) formatRules(run []sourceLine) []string {
	bodies := make([]string, len(run))
	width := 0
	for i, line := range run {
		action, fields, _ := strings.Cut(ruleSet.rules[line.rule].Canonical(), " ")
		bodies[i] = strings.TrimRight(pad(action, actionWidth)+" "+fields, " ")
		width = max(width, utf8.RuneCountInString(bodies[i]))
	}
	for i, line := range run {
		bodies[i] = pad(bodies[i], width) + "  " + commentMark + " " + ruleSet.rules[line.rule].Comment
	}
	return bodies
}

// pad appends spaces until text is width characters wide.
func pad(text string, width int) string {
	return text + strings.Repeat(" ", max(0, width-utf8.RuneCountInString(text)))
}

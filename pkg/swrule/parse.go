package swrule

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"
)

const (
	// MaxText is the largest rule file in bytes.
	MaxText = 512 << 10
	// MaxRules is the largest number of rules in a file.
	MaxRules = 4096
	// commentMark starts a comment.
	commentMark = "#"
)

// Parse reads a rule file. It returns every problem in order of line and column. When one of them is an error the rule
// set is nil; warnings leave it usable.
func Parse(text []byte) (*RuleSet, []Problem) {
	if len(text) > MaxText {
		return nil, []Problem{{
			Line: 1, Column: 1,
			Fault: fmt.Sprintf("the file has %d bytes; the limit is %d", len(text), MaxText),
			Fix:   "join rules by patterns, or shorten comments",
		}}
	}
	parser := &parser{ruleSet: &RuleSet{text: string(text), buckets: make(buckets)}}
	for i, line := range splitLines(string(text)) {
		parser.parseLine(i+1, line)
	}
	if parser.rules == 0 {
		parser.line = 1
		parser.fail(1, "the file has no rule, so every request would be refused", "add a rule; to refuse everything write: refuse # who asked")
	}
	slices.SortStableFunc(parser.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	if HasErrors(parser.problems) {
		return nil, parser.problems
	}
	return parser.ruleSet, parser.problems
}

// splitLines splits text at newlines, which it drops with the carriage returns before them.
func splitLines(text string) []string {
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	for i := range lines {
		lines[i] = strings.TrimSuffix(lines[i], "\r")
	}
	return lines
}

// parser collects the rules and problems of a file.
type parser struct {
	ruleSet  *RuleSet
	problems []Problem
	// line is the number of the line being parsed.
	line int
	// rules counts the lines that are meant as rules, also those at fault.
	rules int
}

// word is a part of a rule between spaces.
type word struct {
	text   string
	column int
}

func (parser *parser) fail(column int, fault, fix string) {
	parser.problems = append(parser.problems, Problem{Line: parser.line, Column: column, Fault: fault, Fix: fix})
}

func (parser *parser) warn(column int, fault, fix string) {
	parser.problems = append(parser.problems, Problem{Line: parser.line, Column: column, Severity: Warning, Fault: fault, Fix: fix})
}

func (parser *parser) parseLine(number int, line string) {
	parser.line = number
	if !parser.checkCharacters(line) {
		parser.rules++
		return
	}
	body, comment, hasComment := strings.Cut(line, commentMark)
	words := splitWords(body)
	if len(words) == 0 {
		parser.ruleSet.lines = append(parser.ruleSet.lines, sourceLine{rule: -1, comment: strings.TrimSpace(line)})
		return
	}
	parser.rules++
	rule := newRule(number)
	rule.Text = strings.TrimSpace(line)
	before := len(parser.problems)
	parser.parseAction(&rule, words[0])
	columns := parser.parseKeys(&rule, words[1:])
	parser.checkTogether(&rule, words[0], columns)
	rule.Comment = parser.parseComment(line, body, comment, hasComment)
	if parser.rules == MaxRules+1 {
		parser.fail(words[0].column, fmt.Sprintf("the file has more than %d rules", MaxRules), "join rules by patterns")
	}
	if !HasErrors(parser.problems[before:]) && parser.rules <= MaxRules {
		parser.addRule(rule, words[0])
	}
}

func (parser *parser) addRule(rule Rule, action word) {
	if hiding := parser.ruleSet.hiding(&rule); hiding != nil {
		parser.warn(action.column, fmt.Sprintf("line %d matches first whatever this rule matches", hiding.Line),
			fmt.Sprintf("move this rule above line %d, or remove it", hiding.Line))
	}
	parser.ruleSet.lines = append(parser.ruleSet.lines, sourceLine{rule: len(parser.ruleSet.rules)})
	parser.ruleSet.add(rule)
}

// checkCharacters reports the first character that cannot stand in a rule file, and whether there is none.
func (parser *parser) checkCharacters(line string) bool {
	column := 1
	for i, character := range line {
		if character == utf8.RuneError && !strings.HasPrefix(line[i:], string(utf8.RuneError)) {
			parser.fail(column, "the line is not in UTF-8", "save the file in UTF-8")
			return false
		}
		if character != '\t' && !unicode.IsPrint(character) {
			parser.fail(column, fmt.Sprintf("character %U cannot stand in a rule file", character), "remove it, or put an ordinary space")
			return false
		}
		column++
	}
	return true
}

func splitWords(body string) []word {
	var words []word
	column, start, startColumn := 1, -1, 0
	for i, character := range body + " " {
		space := character == ' ' || character == '\t'
		if !space && start < 0 {
			start, startColumn = i, column
		}
		if space && start >= 0 {
			words = append(words, word{text: body[start:i], column: startColumn})
			start = -1
		}
		column++
	}
	return words
}

func (parser *parser) parseAction(rule *Rule, action word) {
	for i, name := range actionNames {
		if name == action.text {
			rule.Action = Action(i)
			return
		}
	}
	parser.fail(action.column, fmt.Sprintf("%q is no action", action.text), "start the rule with "+suggest(action.text, actionNames[:]))
}

// parseKeys returns the column of each key, or zero for those not given.
func (parser *parser) parseKeys(rule *Rule, words []word) [keyCount]int {
	var columns [keyCount]int
	for _, word := range words {
		name, value, ok := strings.Cut(word.text, "=")
		if !ok || name == "" {
			parser.fail(word.column, fmt.Sprintf("%q is not of the form Key=value", word.text), "write Key=value without spaces around the =")
			continue
		}
		number, ok := findKey(name)
		if !ok {
			parser.fail(word.column, fmt.Sprintf("%q is no key", name), "write "+suggest(name, keyNames()))
			continue
		}
		if columns[number] != 0 {
			parser.fail(word.column, name+" is given twice", "give each key once; use a pattern or a second rule for other values")
			continue
		}
		columns[number] = word.column
		parser.parseValue(rule, number, word, value)
	}
	return columns
}

func (parser *parser) parseValue(rule *Rule, number int, word word, value string) {
	column := word.column + utf8.RuneCountInString(keys[number].name) + 1
	if value == "" {
		parser.fail(column, keys[number].name+" has no value", "write a value after the =, or leave the key out")
		return
	}
	if err := keys[number].parse(rule, value); err != nil {
		parser.fail(column, err.fault, err.fix)
		return
	}
	rule.fields[number] = word.text
}

// checkTogether reports keys that do not go with the action or with each other.
func (parser *parser) checkTogether(rule *Rule, action word, columns [keyCount]int) {
	limited := columns[keyRate] != 0 || columns[keyInFlight] != 0
	switch action.text {
	case Refuse.String():
		for i, column := range columns {
			if column != 0 && keys[i].limits {
				parser.fail(column, keys[i].name+" has no effect in a refuse rule", "remove it, or use pass or wait")
			}
		}
	case Wait.String():
		if !limited {
			parser.fail(action.column, "a wait rule without Rate or InFlight has nothing to wait for", "add Rate= or InFlight=, or use pass")
		}
		if columns[keyFor] == 0 {
			parser.fail(action.column, "the wait rule does not say how long a request may wait", "add For=, such as For=2s")
		}
	case Pass.String():
		if columns[keyFor] != 0 {
			parser.fail(columns[keyFor], "For has no effect in a pass rule", "remove it, or use wait")
		}
	}
	if rule.Release && !rule.Fingerprint.Literal() {
		parser.fail(columns[keyRelease], "Release needs one whole fingerprint", "add Fingerprint= with the sixteen digits to release")
	}
}

// parseComment checks that the comment says something.
func (parser *parser) parseComment(line, body, comment string, present bool) string {
	comment = strings.TrimSpace(comment)
	said := strings.ContainsFunc(comment, func(character rune) bool {
		return unicode.IsLetter(character) || unicode.IsDigit(character)
	})
	if said {
		return comment
	}
	column := utf8.RuneCountInString(line) + 1
	if present {
		column = utf8.RuneCountInString(body) + 1
	}
	parser.fail(column, "the rule does not say who asked for it", "end the rule with a comment, such as # audit team, case 812")
	return ""
}

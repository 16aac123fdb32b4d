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
	// MaxText is the maximum size of a rule file in bytes.
	MaxText = 512 << 10
	// MaxRules is the maximum number of rules in a file.
	MaxRules = 4096
	// commentMark starts a comment.
	commentMark = "#"
)

// Parse parses a rule file. It returns all problems, ordered by line and column. If one of them is an error, the rule set is
// nil; warnings leave it usable.
func Parse(text []byte) (*RuleSet, []Problem) {
	if len(text) > MaxText {
		return nil, []Problem{{
			Line: 1, Column: 1,
			Fault: fmt.Sprintf("the file has %d bytes; the limit is %d", len(text), MaxText),
			Fix:   "merge rules with patterns, or shorten comments",
		}}
	}
	parser := &parser{ruleSet: &RuleSet{text: string(text), buckets: make(buckets)}}
	for i, line := range splitLines(string(text)) {
		parser.parseLine(i+1, line)
	}
	if parser.ruleLines == 0 {
		parser.line = 1
		parser.addError(1, "the file has no rule, so every request would be refused", "add a rule; to refuse everything write: refuse # who asked")
	}
	slices.SortStableFunc(parser.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	if HasErrors(parser.problems) {
		return nil, parser.problems
	}
	return parser.ruleSet, parser.problems
}

// splitLines splits text into lines without their newline, or carriage return and newline.
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
	// ruleLines counts the lines that hold rules, including those with errors.
	ruleLines int
}

// word is a part of a rule that is delimited by spaces or tabs.
type word struct {
	text   string
	column int
}

func (parser *parser) addError(column int, fault, fix string) {
	parser.problems = append(parser.problems, Problem{Line: parser.line, Column: column, Fault: fault, Fix: fix})
}

func (parser *parser) addWarning(column int, fault, fix string) {
	parser.problems = append(parser.problems, Problem{Line: parser.line, Column: column, Severity: Warning, Fault: fault, Fix: fix})
}

func (parser *parser) parseLine(number int, line string) {
	parser.line = number
	if !parser.checkCharacters(line) {
		parser.ruleLines++
		return
	}
	body, comment, hasComment := strings.Cut(line, commentMark)
	words := splitWords(body)
	if len(words) == 0 {
		parser.ruleSet.lines = append(parser.ruleSet.lines, sourceLine{rule: -1, comment: strings.TrimSpace(line)})
		return
	}
	parser.ruleLines++
	rule := newRule(number)
	rule.Text = strings.TrimSpace(line)
	earlierProblems := len(parser.problems)
	parser.parseAction(&rule, words[0])
	columns := parser.parseKeys(&rule, words[1:])
	parser.checkCombinations(&rule, words[0], columns)
	rule.Comment = parser.parseComment(line, body, comment, hasComment)
	if parser.ruleLines == MaxRules+1 {
		parser.addError(words[0].column, fmt.Sprintf("the file has more than %d rules", MaxRules), "merge rules with patterns")
	}
	if !HasErrors(parser.problems[earlierProblems:]) && parser.ruleLines <= MaxRules {
		parser.addRule(rule, words[0])
	}
}

func (parser *parser) addRule(rule Rule, action word) {
	if hiding := parser.ruleSet.firstCovering(&rule); hiding != nil {
		parser.addWarning(action.column, fmt.Sprintf("line %d matches every request that this rule matches", hiding.Line),
			fmt.Sprintf("move this rule above line %d, or remove it", hiding.Line))
	}
	parser.ruleSet.lines = append(parser.ruleSet.lines, sourceLine{rule: len(parser.ruleSet.rules)})
	parser.ruleSet.add(rule)
}

// checkCharacters reports whether all characters are allowed in a rule file, and adds an error for the first that is not.
func (parser *parser) checkCharacters(line string) bool {
	column := 1
	for i, character := range line {
		if character == utf8.RuneError && !strings.HasPrefix(line[i:], string(utf8.RuneError)) {
			parser.addError(column, "the line is not in UTF-8", "save the file in UTF-8")
			return false
		}
		if character != '\t' && !unicode.IsPrint(character) {
			parser.addError(column, fmt.Sprintf("character %U is not allowed in a rule file", character), "remove it, or use an ordinary space")
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
	parser.addError(action.column, fmt.Sprintf("%q is not an action", action.text), "start the rule with "+suggest(action.text, actionNames[:]))
}

// parseKeys parses the words after the action. It returns the column of each key, or zero for those not given.
func (parser *parser) parseKeys(rule *Rule, words []word) [keyCount]int {
	var columns [keyCount]int
	for _, word := range words {
		name, value, ok := strings.Cut(word.text, "=")
		if !ok || name == "" {
			parser.addError(word.column, fmt.Sprintf("%q is not of the form Key=value", word.text), "write Key=value without spaces around the =")
			continue
		}
		keyNumber, ok := findKey(name)
		if !ok {
			parser.addError(word.column, fmt.Sprintf("%q is not a key", name), "write "+suggest(name, keyNames()))
			continue
		}
		if columns[keyNumber] != 0 {
			parser.addError(word.column, name+" is given twice", "give each key once; use a pattern or a second rule for other values")
			continue
		}
		columns[keyNumber] = word.column
		parser.parseValue(rule, keyNumber, word, value)
	}
	return columns
}

func (parser *parser) parseValue(rule *Rule, keyNumber int, word word, value string) {
	column := word.column + utf8.RuneCountInString(keys[keyNumber].name) + 1
	if value == "" {
		parser.addError(column, keys[keyNumber].name+" has no value", "write a value after the =, or leave the key out")
		return
	}
	if err := keys[keyNumber].parse(rule, value); err != nil {
		parser.addError(column, err.fault, err.fix)
		return
	}
	rule.fields[keyNumber] = word.text
}

// checkCombinations adds errors for keys that conflict with the action or with each other.
func (parser *parser) checkCombinations(rule *Rule, action word, columns [keyCount]int) {
	limited := columns[keyRate] != 0 || columns[keyInFlight] != 0
	switch action.text {
	case Refuse.String():
		for i, column := range columns {
			if column != 0 && keys[i].forAdmittedWork {
				parser.addError(column, keys[i].name+" has no effect in a refuse rule", "remove it, or use pass or wait")
			}
		}
	case Wait.String():
		if !limited {
			parser.addError(action.column, "a wait rule without Rate or InFlight has nothing to wait for", "add Rate= or InFlight=, or use pass")
		}
		if columns[keyFor] == 0 {
			parser.addError(action.column, "the wait rule does not say how long a request may wait", "add For=, such as For=2s")
		}
	case Pass.String():
		if columns[keyFor] != 0 {
			parser.addError(columns[keyFor], "For has no effect in a pass rule", "remove it, or use wait")
		}
	}
	if rule.Release && !rule.Fingerprint.Literal() {
		parser.addError(columns[keyRelease], "Release needs a complete fingerprint", "add Fingerprint= with the sixteen digits to release")
	}
}

// parseComment returns the comment. It adds an error if the comment has no letter or digit.
func (parser *parser) parseComment(line, body, comment string, present bool) string {
	comment = strings.TrimSpace(comment)
	hasText := strings.ContainsFunc(comment, func(character rune) bool {
		return unicode.IsLetter(character) || unicode.IsDigit(character)
	})
	if hasText {
		return comment
	}
	column := utf8.RuneCountInString(line) + 1
	if present {
		column = utf8.RuneCountInString(body) + 1
	}
	parser.addError(column, "the rule does not say who asked for it", "end the rule with a comment, such as # audit team, case 812")
	return ""
}

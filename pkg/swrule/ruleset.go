package swrule

// RuleSet is a parsed rule file. It is immutable and safe for concurrent use. Parse returns it.
type RuleSet struct {
	text      string
	lines     []sourceLine
	rules     []Rule
	decisions []Decision
	matchers  []patternMatchers
	buckets   buckets
}

// sourceLine is a line of the file: a rule, a comment or blank.
type sourceLine struct {
	// rule is the index of the line's rule in RuleSet.rules, or -1 if the line has none.
	rule int
	// comment is the line without the spaces around it, if it is not a rule.
	comment string
}

// String returns the file exactly as it was parsed.
func (ruleSet *RuleSet) String() string {
	return ruleSet.text
}

// Rules returns the rules in the order of matching. The caller must not change the slice.
func (ruleSet *RuleSet) Rules() []Rule {
	return ruleSet.rules
}

// Match returns the decision of the first rule that matches. If none does, the decision is Refuse with Line zero.
func (ruleSet *RuleSet) Match(request Request) Decision {
	first := ruleSet.buckets.firstMatch(request.Caller, request.Kind, func(i int) bool {
		return ruleSet.matchers[i].match(&request)
	})
	if first < 0 {
		return Decision{Action: Refuse, Priority: Deferrable}
	}
	return ruleSet.decisions[first]
}

func (ruleSet *RuleSet) add(rule Rule) {
	ruleSet.buckets.add(&rule, len(ruleSet.rules))
	ruleSet.matchers = append(ruleSet.matchers, rule.compile())
	ruleSet.rules = append(ruleSet.rules, rule)
	ruleSet.decisions = append(ruleSet.decisions, rule.decision())
}

// firstCovering returns the first rule that covers rule, or nil.
func (ruleSet *RuleSet) firstCovering(rule *Rule) *Rule {
	first := ruleSet.buckets.firstMatch(literalOrEmpty(rule.Caller), literalOrEmpty(rule.Kind), func(i int) bool {
		return ruleSet.matchers[i].covers(rule)
	})
	if first < 0 {
		return nil
	}
	return &ruleSet.rules[first]
}

// buckets groups the indexes of rules by the literal caller and kind of the rules, so that a request is compared with few rules.
type buckets map[bucketKey][]int

// bucketKey holds a literal caller and kind; an empty field stands for all patterns with wildcards.
type bucketKey struct {
	caller string
	kind   string
}

// literalOrEmpty returns the pattern's text if it has no wildcard, and the empty string otherwise.
func literalOrEmpty(pattern Pattern) string {
	if pattern.Literal() {
		return string(pattern)
	}
	return ""
}

func (buckets buckets) add(rule *Rule, i int) {
	key := bucketKey{caller: literalOrEmpty(rule.Caller), kind: literalOrEmpty(rule.Kind)}
	buckets[key] = append(buckets[key], i)
}

// firstMatch returns the lowest index for which accepts returns true, among the rules that may match caller and kind, or -1.
func (buckets buckets) firstMatch(caller, kind string, accepts func(i int) bool) int {
	best := -1
	for _, key := range [...]bucketKey{{caller, kind}, {caller, ""}, {"", kind}, {"", ""}} {
		for _, i := range buckets[key] {
			if best >= 0 && i >= best {
				break
			}
			if accepts(i) {
				best = i
				break
			}
		}
	}
	return best
}

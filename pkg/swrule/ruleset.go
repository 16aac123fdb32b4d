package swrule

// RuleSet is one version of the rule file. It is immutable and safe for concurrent use. Parse makes it.
type RuleSet struct {
	text      string
	lines     []sourceLine
	rules     []Rule
	decisions []Decision
	matchers  []matchers
	buckets   buckets
}

// sourceLine is a line of the file: a rule, a comment or blank.
type sourceLine struct {
	// rule is the rule's place in the order of matching, or -1.
	rule int
	// comment is the line without the spaces around it, when it is not a rule.
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

// Match returns the decision of the first rule that matches. When none does, it refuses, with Line zero.
func (ruleSet *RuleSet) Match(request Request) Decision {
	first := ruleSet.buckets.first(request.Caller, request.Kind, func(i int) bool {
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

// hiding returns the first rule that covers rule, or nil.
func (ruleSet *RuleSet) hiding(rule *Rule) *Rule {
	first := ruleSet.buckets.first(bucketPart(rule.Caller), bucketPart(rule.Kind), func(i int) bool {
		return ruleSet.matchers[i].cover(rule)
	})
	if first < 0 {
		return nil
	}
	return &ruleSet.rules[first]
}

// buckets sorts rules by the literal caller and kind that they name, so that only few are compared with a request.
type buckets map[bucketKey][]int

// bucketKey holds a literal caller and kind; an empty part stands for patterns with wildcards.
type bucketKey struct {
	caller string
	kind   string
}

func bucketPart(pattern Pattern) string {
	if pattern.Literal() {
		return string(pattern)
	}
	return ""
}

func (buckets buckets) add(rule *Rule, i int) {
	key := bucketKey{caller: bucketPart(rule.Caller), kind: bucketPart(rule.Kind)}
	buckets[key] = append(buckets[key], i)
}

// first returns the lowest number of a rule that accepts takes, among those that may match caller and kind, or -1.
func (buckets buckets) first(caller, kind string, accepts func(i int) bool) int {
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

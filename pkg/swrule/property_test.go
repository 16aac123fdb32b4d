package swrule

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

// smallNames and smallPatterns draw from few characters, so that patterns often match names.
var (
	smallNames    = rapid.StringMatching(`[ab-]{0,4}`)
	smallPatterns = rapid.StringMatching(`[ab*-]{1,4}`)
)

// drawRule draws the line of a rule without errors.
func drawRule(t *rapid.T) string {
	words := []string{rapid.SampledFrom([]string{"pass", "refuse", "wait Rate=5/s For=2s", "pass Priority=Urgent InFlight=3"}).Draw(t, "Action")}
	for _, name := range []string{"Path", "Host", "Index", "Kind", "Caller"} {
		if rapid.Bool().Draw(t, name+"Given") {
			words = append(words, name+"="+smallPatterns.Draw(t, name))
		}
	}
	spaces := rapid.SampledFrom([]string{" ", "   ", "\t"}).Draw(t, "Spaces")
	return strings.Join(words, spaces) + rapid.SampledFrom([]string{"# a", " #a  ", "  # ops, case 7 # urgent"}).Draw(t, "Comment")
}

func drawFile(t *rapid.T) string {
	lines := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) string {
		if rapid.IntRange(0, 3).Draw(t, "IsRule") > 0 {
			return drawRule(t)
		}
		return rapid.SampledFrom([]string{"", "  ", "# Version: 3", "  # desk"}).Draw(t, "Other")
	}), 0, 12).Draw(t, "Lines")
	lines = append(lines, drawRule(t))
	return strings.Join(lines, rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "Newline"))
}

func drawRequest(t *rapid.T) Request {
	return Request{
		Caller: smallNames.Draw(t, "RequestCaller"),
		Kind:   smallNames.Draw(t, "RequestKind"),
		Index:  smallNames.Draw(t, "RequestIndex"),
		Host:   smallNames.Draw(t, "RequestHost"),
		Path:   smallNames.Draw(t, "RequestPath"),
	}
}

func TestMatchReturnsFirstMatchingRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ruleSet, problems := Parse([]byte(drawFile(t)))
		if HasErrors(problems) {
			t.Fatalf("problems: %v", problems)
		}
		request := drawRequest(t)
		want := Decision{Action: Refuse, Priority: Deferrable}
		for _, rule := range ruleSet.Rules() {
			if rule.Matches(request) {
				want = rule.decision()
				break
			}
		}
		if diff := cmp.Diff(want, ruleSet.Match(request)); diff != "" {
			t.Fatal("decision (-want +got):\n" + diff)
		}
	})
}

func TestCoveredRulesNeverDecide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ruleSet, problems := Parse([]byte(drawFile(t)))
		line := ruleSet.Match(drawRequest(t)).Line
		for _, problem := range problems {
			if problem.Line == line {
				t.Fatalf("line %d decides, in spite of the problem %v", line, problem)
			}
		}
	})
}

func TestPatternMatchAgreesWithNaiveMatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pattern := smallPatterns.Draw(t, "Pattern")
		name := rapid.StringMatching(`[ab-]{0,7}`).Draw(t, "Name")
		if got, want := Pattern(pattern).Match(name), naiveMatch(pattern, name); got != want {
			t.Fatalf("pattern %q on %q gives %t, want %t", pattern, name, got, want)
		}
	})
}

// naiveMatch is a recursive reference implementation of Pattern.Match that tries every length for each wildcard.
func naiveMatch(pattern, name string) bool {
	if pattern == "" {
		return name == ""
	}
	if pattern[0] == '*' {
		return naiveMatch(pattern[1:], name) || name != "" && naiveMatch(pattern, name[1:])
	}
	return name != "" && pattern[0] == name[0] && naiveMatch(pattern[1:], name[1:])
}

// checkInvariants checks the invariants of Parse, String and Format, which hold for every text.
func checkInvariants(t interface{ Fatalf(string, ...any) }, text string) {
	ruleSet, problems := Parse([]byte(text))
	lines := strings.Count(text, "\n") + 1
	for _, problem := range problems {
		if problem.Line < 1 || problem.Line > lines || problem.Column < 1 || problem.Fault == "" || problem.Fix == "" {
			t.Fatalf("problem %+v is not in the text's %d lines, or is incomplete", problem, lines)
		}
	}
	if HasErrors(problems) != (ruleSet == nil) {
		t.Fatalf("rule set is %v with problems %v", ruleSet, problems)
	}
	if ruleSet == nil {
		return
	}
	if diff := cmp.Diff(text, ruleSet.String()); diff != "" {
		t.Fatalf("text (-want +got):\n%s", diff)
	}
	formatted := ruleSet.Format()
	again, problems := Parse([]byte(formatted))
	if again == nil {
		t.Fatalf("formatted text has problems %v:\n%s", problems, formatted)
	}
	ignored := cmpopts.IgnoreFields(Rule{}, "Line", "Text")
	if diff := cmp.Diff(ruleSet.Rules(), again.Rules(), ignored, cmp.AllowUnexported(Rule{})); diff != "" {
		t.Fatalf("rules after format (-before +after):\n%s", diff)
	}
	if diff := cmp.Diff(formatted, again.Format()); diff != "" {
		t.Fatalf("second format (-first +second):\n%s", diff)
	}
}

func TestFormatPreservesRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checkInvariants(t, drawFile(t))
	})
}

// FuzzParse checks that Parse does not panic and that the invariants hold for every text. More seeds are in testdata/fuzz.
func FuzzParse(f *testing.F) {
	f.Add(exampleText)
	f.Fuzz(func(t *testing.T, text string) {
		checkInvariants(t, text)
	})
}

// FuzzPattern compares Pattern.Match with naiveMatch. More seeds are in testdata/fuzz.
func FuzzPattern(f *testing.F) {
	f.Add("a*b", "ab")
	f.Fuzz(func(t *testing.T, pattern, name string) {
		if len(pattern) > 12 || len(name) > 12 || strings.Contains(name, Wildcard) {
			t.Skip()
		}
		if got, want := Pattern(pattern).Match(name), naiveMatch(pattern, name); got != want {
			t.Errorf("pattern %q on %q gives %t, want %t", pattern, name, got, want)
		}
		if !Pattern(pattern).Covers(Pattern(pattern)) {
			t.Errorf("pattern %q does not cover itself", pattern)
		}
	})
}

func BenchmarkParse(b *testing.B) {
	var text strings.Builder
	for i := range 1000 {
		fmt.Fprintf(&text, "pass Caller=caller-%d-* Kind=kind-* # a\n", i)
	}
	b.ReportAllocs()
	for b.Loop() {
		if ruleSet, _ := Parse([]byte(text.String())); ruleSet == nil {
			b.Fatal("no rule set")
		}
	}
}

func ExampleParse() {
	ruleSet, problems := Parse([]byte("pass Caller=treasurer-desk Priority=Urgent # treasurer support, case 790\n"))
	fmt.Println(len(problems))
	decision := ruleSet.Match(Request{Caller: "treasurer-desk", Kind: "balance-check"})
	fmt.Println(decision.Action, decision.Priority, decision.Line)
	// Output:
	// 0
	// pass Urgent 1
}

func ExampleParse_problems() {
	_, problems := Parse([]byte("wait Caler=audit-export InFlight=40 For=2 # audit team\n"))
	for _, problem := range problems {
		fmt.Println(problem)
	}
	// Output:
	// 1:6: error: "Caler" is not a key (write Caller)
	// 1:41: error: "2" is not a duration (write a number with a unit, such as 250ms or 2s)
}

func ExampleRuleSet_Format() {
	ruleSet, _ := Parse([]byte("pass Priority=Urgent Caller=treasurer-desk#case 790\nrefuse Kind=bulk-*  # on-call\n"))
	fmt.Print(ruleSet.Format())
	// Output:
	// pass   Caller=treasurer-desk Priority=Urgent  # case 790
	// refuse Kind=bulk-*                            # on-call
}

func ExamplePattern_Match() {
	fmt.Println(Pattern("bulk-*").Match("bulk-notice"), Pattern("bulk-*").Match("bulk"))
	// Output: true false
}

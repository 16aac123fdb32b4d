package swrule

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

const exampleText = `# Version: 41
pass   Caller=treasurer-desk Kind=balance-check Priority=Urgent           # treasurer support, case 790
wait   Caller=audit-export   Priority=Deferrable InFlight=40 For=2s       # audit team, case 812

refuse Caller=levy-notice-sender Kind=bulk-*                          # on-call, until the index is rebuilt
pass   Fingerprint=00ff00ff00ff00ff Release=yes Rate=0.5/s Deadline=250ms # on-call: mended in 2.1
`

func mustParse(t testing.TB, text string) *RuleSet {
	t.Helper()
	ruleSet, problems := Parse([]byte(text))
	if len(problems) > 0 {
		t.Fatalf("problems: %v", problems)
	}
	return ruleSet
}

func TestFirstMatchingRuleDecides(t *testing.T) {
	ruleSet := mustParse(t, exampleText)
	tests := []struct {
		name    string
		request Request
		want    Decision
	}{
		{
			name:    "literal patterns",
			request: Request{Caller: "treasurer-desk", Kind: "balance-check"},
			want: Decision{
				Action: Pass, Priority: Urgent, Line: 2,
				Text: "pass   Caller=treasurer-desk Kind=balance-check Priority=Urgent           # treasurer support, case 790",
				ID:   "pass Caller=treasurer-desk Kind=balance-check Priority=Urgent",
			},
		},
		{
			name:    "limits",
			request: Request{Caller: "audit-export", Kind: "export"},
			want: Decision{
				Action: Wait, Priority: Deferrable, Line: 3, InFlight: 40, For: 2 * time.Second,
				Text: "wait   Caller=audit-export   Priority=Deferrable InFlight=40 For=2s       # audit team, case 812",
				ID:   "wait Caller=audit-export Priority=Deferrable InFlight=40 For=2s",
			},
		},
		{
			name:    "wildcard",
			request: Request{Caller: "levy-notice-sender", Kind: "bulk-notice"},
			want: Decision{
				Action: Refuse, Priority: Standard, Line: 5,
				Text: "refuse Caller=levy-notice-sender Kind=bulk-*                          # on-call, until the index is rebuilt",
				ID:   "refuse Caller=levy-notice-sender Kind=bulk-*",
			},
		},
		{
			name:    "fingerprint",
			request: Request{Caller: "levy-notice-sender", Kind: "notice", Fingerprint: "00ff00ff00ff00ff"},
			want: Decision{
				Action: Pass, Priority: Standard, Line: 6, RatePerSecond: 0.5, Deadline: 250 * time.Millisecond, Release: true, ByFingerprint: true,
				Text: "pass   Fingerprint=00ff00ff00ff00ff Release=yes Rate=0.5/s Deadline=250ms # on-call: mended in 2.1",
				ID:   "pass Fingerprint=00ff00ff00ff00ff Rate=0.5/s Deadline=250ms Release=yes",
			},
		},
		{
			name:    "no rule",
			request: Request{Caller: "treasurer-desk", Kind: "other"},
			want:    Decision{Action: Refuse, Priority: Deferrable},
		},
		{
			name: "no name at all",
			want: Decision{Action: Refuse, Priority: Deferrable},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, ruleSet.Match(test.request)); diff != "" {
				t.Error("decision (-want +got):\n" + diff)
			}
		})
	}
}

func TestDecisionsHaveResultCodes(t *testing.T) {
	ruleSet := mustParse(t, "refuse Fingerprint=00* # on-call\npass Kind=a # a\nrefuse Caller=b # b\n")
	tests := map[swcode.Code]Request{
		swcode.QuarantinedByRule: {Kind: "a", Fingerprint: "00ff00ff00ff00ff"},
		swcode.OK:                {Kind: "a", Fingerprint: "11ff00ff00ff00ff"},
		swcode.RefusedByRule:     {Caller: "b"},
		swcode.NoRuleMatched:     {Caller: "c"},
	}
	for want, request := range tests {
		decision := ruleSet.Match(request)
		if diff := cmp.Diff(want, decision.Code()); diff != "" {
			t.Errorf("code of %+v (-want +got):\n%s", request, diff)
		}
	}
}

func TestProblemsHaveLineColumnFaultAndFix(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []string
	}{
		{"empty file", "", []string{"1:1: error: the file has no rule, so every request would be refused (add a rule; to refuse everything write: refuse # who asked)"}},
		{"misspelt action", "\n  pas # a", []string{`2:3: error: "pas" is not an action (start the rule with pass)`}},
		{"unknown action", "allow # a", []string{`1:1: error: "allow" is not an action (start the rule with pass, wait or refuse)`}},
		{"misspelt key", "pass\tcaler=x # a", []string{`1:6: error: "caler" is not a key (write Caller)`}},
		{"no key", "pass Caller = x # a", []string{
			`1:6: error: "Caller" is not of the form Key=value (write Key=value without spaces around the =)`,
			`1:13: error: "=" is not of the form Key=value (write Key=value without spaces around the =)`,
			`1:15: error: "x" is not of the form Key=value (write Key=value without spaces around the =)`,
		}},
		{"key twice", "pass Kind=a Kind=b # a", []string{"1:13: error: Kind is given twice (give each key once; use a pattern or a second rule for other values)"}},
		{"empty value", "pass Kind= # a", []string{"1:11: error: Kind has no value (write a value after the =, or leave the key out)"}},
		{"character not allowed in a pattern", "pass Caller=māori-[ab] # a", []string{`1:13: error: character '[' is not allowed in a pattern (use letters, digits and - _ . : / @, or * for any run of characters)`}},
		{"no comment", "pass Kind=a", []string{"1:12: error: the rule does not say who asked for it (end the rule with a comment, such as # audit team, case 812)"}},
		{"empty comment", "pass Kind=a # --", []string{"1:13: error: the rule does not say who asked for it (end the rule with a comment, such as # audit team, case 812)"}},
		{"bad values", "pass Priority=urgent Rate=5 InFlight=0 Deadline=2h Fingerprint=12 Release=no # a", []string{
			`1:15: error: priority "urgent" is not one of Urgent, Standard, Deferrable (write Urgent)`,
			`1:27: error: "5" is not a rate (write requests per second, such as 50/s or 0.5/s)`,
			`1:38: error: "0" is not a valid number of requests (write a whole number from 1 to 1000000, or use refuse to block all requests)`,
			`1:49: error: duration 2h is out of bounds (write more than zero and at most 1h0m0s)`,
			"1:64: error: \"12\" is not a fingerprint (copy the sixteen hexadecimal digits, in lower case, from `sycamorewall status`)",
			`1:75: error: "no" is not a value of Release (write Release=yes, or leave the key out)`,
		}},
		{"rate out of bounds", "pass Rate=0/s # a", []string{`1:11: error: rate 0/s is out of bounds (write a rate from 0.001/s to 1000000/s, or use refuse to block all requests)`}},
		{"duration without unit", "wait Rate=1/s For=2 # a", []string{`1:19: error: "2" is not a duration (write a number with a unit, such as 250ms or 2s)`}},
		{"wait without limit or time", "wait Kind=a # a", []string{
			"1:1: error: a wait rule without Rate or InFlight has nothing to wait for (add Rate= or InFlight=, or use pass)",
			"1:1: error: the wait rule does not say how long a request may wait (add For=, such as For=2s)",
		}},
		{"pass with For", "pass Rate=1/s For=2s # a", []string{"1:15: error: For has no effect in a pass rule (remove it, or use wait)"}},
		{"refuse with limits", "refuse Rate=1/s # a", []string{"1:8: error: Rate has no effect in a refuse rule (remove it, or use pass or wait)"}},
		{"release by a pattern", "pass Fingerprint=12* Release=yes # a", []string{"1:22: error: Release needs a complete fingerprint (add Fingerprint= with the sixteen digits to release)"}},
		{"not UTF-8", "pass # a\n# \xff", []string{"2:3: error: the line is not in UTF-8 (save the file in UTF-8)"}},
		{"control character", "pass # a\x1b[2J", []string{"1:9: error: character U+001B is not allowed in a rule file (remove it, or use an ordinary space)"}},
		{"no-break space", "pass\u00a0Kind=a # a", []string{"1:5: error: character U+00A0 is not allowed in a rule file (remove it, or use an ordinary space)"}},
		{"too large", strings.Repeat("#", MaxText+1), []string{"1:1: error: the file has 524289 bytes; the limit is 524288 (merge rules with patterns, or shorten comments)"}},
		{"rules covered by an earlier one", "pass Caller=a* # a\nrefuse Caller=ab Kind=c # b\npass Kind=c # c\nrefuse Caller=a*b* # d", []string{
			"2:1: warning: line 1 matches every request that this rule matches (move this rule above line 1, or remove it)",
			"4:1: warning: line 1 matches every request that this rule matches (move this rule above line 1, or remove it)",
		}},
		{"errors on several lines", "pas # a\n\nwat # b", []string{
			`1:1: error: "pas" is not an action (start the rule with pass)`,
			`3:1: error: "wat" is not an action (start the rule with wait)`,
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, problems := Parse([]byte(test.text))
			var got []string
			for _, problem := range problems {
				got = append(got, problem.String())
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error("problems (-want +got):\n" + diff)
			}
		})
	}
}

func TestRuleLimitIsReportedOnce(t *testing.T) {
	var text strings.Builder
	for i := range MaxRules + 10 {
		fmt.Fprintf(&text, "pass Kind=kind-%d # a\n", i)
	}
	_, problems := Parse([]byte(text.String()))
	want := []Problem{{Line: MaxRules + 1, Column: 1, Fault: "the file has more than 4096 rules", Fix: "merge rules with patterns"}}
	if diff := cmp.Diff(want, problems); diff != "" {
		t.Error("problems (-want +got):\n" + diff)
	}
}

func TestFormatIsCanonicalAndKeepsComments(t *testing.T) {
	text := "\n\n  # Desk \r\npass Priority=Urgent   Caller=a #why\t\nrefuse #  stop ## all\n\n\n# end\n\n"
	want := "# Desk\npass   Caller=a Priority=Urgent  # why\nrefuse                           # stop ## all\n\n# end\n"
	ruleSet := mustParse(t, text)
	if diff := cmp.Diff(want, ruleSet.Format()); diff != "" {
		t.Error("format (-want +got):\n" + diff)
	}
	if diff := cmp.Diff(text, ruleSet.String()); diff != "" {
		t.Error("text (-want +got):\n" + diff)
	}
}

func BenchmarkMatch(b *testing.B) {
	for _, rules := range []int{10, 100, 1000} {
		var literal, wild strings.Builder
		for i := range rules {
			fmt.Fprintf(&literal, "pass Caller=caller-%d Kind=kind-%d # a\n", i, i)
			fmt.Fprintf(&wild, "pass Caller=caller-%d-* Kind=kind-* # a\n", i)
		}
		last := rules - 1
		b.Run(fmt.Sprintf("Literal/%d", rules), func(b *testing.B) {
			benchmarkMatch(b, literal.String(), Request{Caller: fmt.Sprintf("caller-%d", last), Kind: fmt.Sprintf("kind-%d", last)}, rules)
		})
		b.Run(fmt.Sprintf("Wildcard/%d", rules), func(b *testing.B) {
			benchmarkMatch(b, wild.String(), Request{Caller: fmt.Sprintf("caller-%d-x", last), Kind: "kind-x"}, rules)
		})
	}
}

func benchmarkMatch(b *testing.B, text string, request Request, wantLine int) {
	ruleSet := mustParse(b, text)
	b.ReportAllocs()
	for b.Loop() {
		if line := ruleSet.Match(request).Line; line != wantLine {
			b.Fatalf("line is %d, want %d", line, wantLine)
		}
	}
}

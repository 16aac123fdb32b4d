package swsetting_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swsetting"
)

func minimal(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "minimal.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestMinimalFileGetsDefaults(t *testing.T) {
	settings, err := swsetting.Parse([]byte(minimal(t)))
	if err != nil {
		t.Fatal(err)
	}
	defaults := swsetting.Defaults()
	if diff := cmp.Diff(defaults.Query, settings.Query); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff("127.0.0.1:8080", settings.Caller.Listen.String()); diff != "" {
		t.Error(diff)
	}
}

func TestInvalidFieldIsReportedWithAFix(t *testing.T) {
	cases := map[string]struct {
		from, to string
		field    string
	}{
		"no name":                    {"Name: vm-1", "Name: \"\"", "Name"},
		"platform URL is malformed":  {"URL: http://127.0.0.1:7000", "URL: nowhere", "Platform.URL"},
		"peers without a key":        {"Key: vm-1.key", "Key: \"\"", "Peer.TLS.Key"},
		"callers cannot prove names": {"TrustCallerField: true", "TrustCallerField: false", "Caller.TrustCallerField"},
		"unknown placement":          {"Log:", "Query: {Placement: Random}\nLog:", "Query.Placement"},
		"hedge percent above 100":    {"Log:", "Query: {HedgePercent: 101}\nLog:", "Query.HedgePercent"},
		"hedge percentile of 100":    {"Log:", "Query: {HedgePercentile: 100}\nLog:", "Query.HedgePercentile"},
		"shares above 100 in all":    {"Log:", "Admission: {Shares: [60, 30, 20]}\nLog:", "Admission.Shares"},
		"two shares":                 {"Log:", "Admission: {Shares: [60, 30]}\nLog:", "Admission.Shares"},
		"timeout of zero":            {"Log:", "Query: {AckTimeout: 0s}\nLog:", "Query.AckTimeout"},
		"unknown log level":          {"Level: info", "Level: loud", "Log.Level"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(minimal(t), test.from, test.to, 1)
			_, err := swsetting.Parse([]byte(text))
			var validationErr *swsetting.ValidationError
			if !errors.As(err, &validationErr) {
				t.Fatalf("error is %v, want a ValidationError", err)
			}
			if diff := cmp.Diff(test.field, validationErr.Errors[0].Field); diff != "" {
				t.Error(diff)
			}
			if validationErr.Errors[0].Message == "" || validationErr.Errors[0].Fix == "" {
				t.Errorf("the error lacks a message or a fix: %+v", validationErr.Errors[0])
			}
		})
	}
}

func TestMalformedSettingsAreRejected(t *testing.T) {
	cases := map[string]string{
		"unknown field":       minimal(t) + "Colour: green\n",
		"duration, no unit":   minimal(t) + "Query: {AckTimeout: 5}\n",
		"address with a name": strings.Replace(minimal(t), "127.0.0.1:8080", "localhost:8080", 1),
		"not YAML":            "{",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			if _, err := swsetting.Parse([]byte(text)); err == nil {
				t.Error("the settings were accepted")
			}
		})
	}
}

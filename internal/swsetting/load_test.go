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

func TestMinimalFileTakesDefaultsForAllElse(t *testing.T) {
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

func TestFaultNamesTheFieldAndTheFix(t *testing.T) {
	cases := map[string]struct {
		from, to string
		field    string
	}{
		"no name":                     {"Name: vm-1", "Name: \"\"", "Name"},
		"platform is no URL":          {"URL: http://127.0.0.1:7000", "URL: nowhere", "Platform.URL"},
		"peers without a key":         {"Key: vm-1.key", "Key: \"\"", "Peer.TLS.Key"},
		"nobody can prove its name":   {"TrustCallerField: true", "TrustCallerField: false", "Caller.TrustCallerField"},
		"placement that is not known": {"Log:", "Query: {Placement: Random}\nLog:", "Query.Placement"},
		"hedges above everything":     {"Log:", "Query: {HedgePercent: 101}\nLog:", "Query.HedgePercent"},
		"percentile of nothing":       {"Log:", "Query: {HedgePercentile: 100}\nLog:", "Query.HedgePercentile"},
		"shares above the whole":      {"Log:", "Admission: {Shares: [60, 30, 20]}\nLog:", "Admission.Shares"},
		"two shares":                  {"Log:", "Admission: {Shares: [60, 30]}\nLog:", "Admission.Shares"},
		"no time to wait":             {"Log:", "Query: {AckTimeout: 0s}\nLog:", "Query.AckTimeout"},
		"log level that is not known": {"Level: info", "Level: loud", "Log.Level"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(minimal(t), test.from, test.to, 1)
			_, err := swsetting.Parse([]byte(text))
			var faults *swsetting.ValidationError
			if !errors.As(err, &faults) {
				t.Fatalf("the file was taken, or refused without faults: %v", err)
			}
			if diff := cmp.Diff(test.field, faults.Errors[0].Field); diff != "" {
				t.Error(diff)
			}
			if faults.Errors[0].Message == "" || faults.Errors[0].Fix == "" {
				t.Errorf("the fault lacks a message or a fix: %+v", faults.Errors[0])
			}
		})
	}
}

func TestTextThatIsNoSettingIsRefused(t *testing.T) {
	cases := map[string]string{
		"unknown field":       minimal(t) + "Colour: green\n",
		"duration, no unit":   minimal(t) + "Query: {AckTimeout: 5}\n",
		"address with a name": strings.Replace(minimal(t), "127.0.0.1:8080", "localhost:8080", 1),
		"not YAML":            "{",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			if _, err := swsetting.Parse([]byte(text)); err == nil {
				t.Error("the file was taken")
			}
		})
	}
}

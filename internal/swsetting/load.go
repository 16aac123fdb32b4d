package swsetting

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

// Placement values.
const (
	// PlacementOwner gives each backend server to one VM of its data centre.
	PlacementOwner = "Owner"
	// PlacementDirect lets every VM talk to every backend server with its share of the slots.
	PlacementDirect = "Direct"
)

// Fault is one field that is wrong.
type FieldError struct {
	// Field is the path of the field, such as Peer.TLS.CA.
	Field string
	// Message says what is wrong.
	Message string
	// Fix says what to write.
	Fix string
}

// FaultsError lists every field that is wrong.
type ValidationError struct {
	Errors []FieldError
}

// Error gives one line a fault.
func (err *ValidationError) Error() string {
	lines := make([]string, len(err.Errors))
	for i, fieldError := range err.Errors {
		lines[i] = fmt.Sprintf("%s: %s (%s)", fieldError.Field, fieldError.Message, fieldError.Fix)
	}
	return strings.Join(lines, "\n")
}

// Load reads, completes and checks a settings file. Faults in the fields come as a *FaultsError.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(data)
}

// Parse decodes settings, fills in defaults and checks them. A field that is not known is an error.
func Parse(data []byte) (Settings, error) {
	settings := Defaults()
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict(),
		yaml.CustomUnmarshaler(unmarshalAddress), yaml.CustomUnmarshaler(unmarshalDuration))
	if err := decoder.Decode(&settings); err != nil {
		return Settings{}, errors.Wrap(err, "decode settings")
	}
	return settings, Check(settings)
}

func unmarshalAddress(address *netip.AddrPort, data []byte) error {
	var text string
	if err := yaml.Unmarshal(data, &text); err != nil {
		return err
	}
	if text == "" {
		return nil
	}
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		return errors.Errorf("%q is not an address (write an IP number and a port, such as 10.0.0.1:8080)", text)
	}
	*address = parsed
	return nil
}

func unmarshalDuration(duration *time.Duration, data []byte) error {
	var text string
	if err := yaml.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf("%q is not a duration (write a number and a unit, such as 250ms)", text)
	}
	*duration = parsed
	return nil
}

var fieldValidator = func() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Name })
	return validate
}()

// Check reports every field that is outside its bounds as a *FaultsError.
func Check(settings Settings) error {
	faults := tagFaults(settings)
	if settings.Gateway.Enabled() {
		faults = append(faults, gatewayFaults(settings)...)
	} else {
		faults = append(faults, listenerFaults(settings)...)
	}
	faults = append(faults, boundFaults(settings)...)
	if len(faults) == 0 {
		return nil
	}
	return &ValidationError{Errors: faults}
}

func tagFaults(settings Settings) []FieldError {
	var invalid validator.ValidationErrors
	if !errors.As(fieldValidator.Struct(settings), &invalid) {
		return nil
	}
	faults := make([]FieldError, len(invalid))
	for i, fault := range invalid {
		faults[i] = FieldError{
			Field:   strings.TrimPrefix(fault.Namespace(), "Settings."),
			Message: fmt.Sprintf("%q is not allowed", fmt.Sprint(fault.Value())),
			Fix:     tagFix(fault),
		}
	}
	return faults
}

func tagFix(fault validator.FieldError) string {
	switch fault.Tag() {
	case "required":
		return "give it a value"
	case "url":
		return "write a URL, such as http://10.0.0.1:7000"
	case "oneof":
		return "write one of " + fault.Param()
	default:
		return "see the settings reference"
	}
}

func listenerFaults(settings Settings) []FieldError {
	var faults []FieldError
	add := func(field, message, fix string) {
		faults = append(faults, FieldError{Field: field, Message: message, Fix: fix})
	}
	if !settings.Caller.Listen.IsValid() {
		add("Caller.Listen", "no address is given", "write an IP number and a port, such as 10.0.0.1:8080")
	}
	if !settings.Peer.Listen.IsValid() {
		add("Peer.Listen", "no address is given", "write an IP number and a port, such as 10.0.0.1:8081")
	}
	for _, file := range []struct{ field, value string }{
		{"Peer.TLS.Certificate", settings.Peer.TLS.Certificate},
		{"Peer.TLS.Key", settings.Peer.TLS.Key},
		{"Peer.TLS.CA", settings.Peer.TLS.CA},
	} {
		if file.value == "" {
			add(file.field, "no file is given", "name a PEM file; peers always use mutual TLS")
		}
	}
	callerTLS := settings.Caller.TLS
	if callerTLS.Enabled() && (callerTLS.Certificate == "" || callerTLS.Key == "" || callerTLS.CA == "") {
		add("Caller.TLS", "only some of Certificate, Key and CA are given", "give all three, or none for plain HTTP")
	}
	if !callerTLS.Enabled() && !settings.Caller.TrustCallerField {
		add("Caller.TrustCallerField", "without TLS no caller can prove its name", "give Caller.TLS, or set it to true")
	}
	return faults
}

func gatewayFaults(settings Settings) []FieldError {
	var faults []FieldError
	gateway := settings.Gateway
	if !settings.Peer.Listen.IsValid() {
		faults = append(faults, FieldError{Field: "Peer.Listen", Message: "no address is given", Fix: "write an IP number and a port, such as 10.0.0.1:8081"})
	}
	if !gateway.Ready.IsValid() {
		faults = append(faults, FieldError{Field: "Gateway.Ready", Message: "no address is given", Fix: "write an IP number and a port, such as 10.0.0.1:8081"})
	}
	for _, bound := range []struct {
		field string
		ok    bool
	}{
		{"Gateway.Grace", gateway.Grace > 0},
		{"Gateway.RepeatWindow", gateway.RepeatWindow > 0},
		{"Gateway.RepeatRatio", gateway.RepeatRatio >= 0},
		{"Gateway.RepeatSlack", gateway.RepeatSlack >= 0},
		{"Gateway.ApplyWithin", gateway.ApplyWithin > 0},
		{"Gateway.DrainWithin", gateway.DrainWithin > 0},
		{"Gateway.EntryGrace", gateway.EntryGrace >= 0},
	} {
		if !bound.ok {
			faults = append(faults, FieldError{Field: bound.field, Message: "it is out of range", Fix: "write a value above zero, or leave it out"})
		}
	}
	return faults
}

// Enabled reports whether any file is named.
func (tls TLS) Enabled() bool {
	return tls.Certificate != "" || tls.Key != "" || tls.CA != ""
}

func boundFaults(settings Settings) []FieldError {
	var faults []FieldError
	positive := func(field string, ok bool) {
		if !ok {
			faults = append(faults, FieldError{Field: field, Message: "it is not above zero", Fix: "write a value above zero, or leave it out"})
		}
	}
	positive("Caller.MaxBody", settings.Caller.MaxBody > 0)
	positive("Caller.MaxRequests", settings.Caller.MaxRequests > 0)
	positive("Platform.Timeout", settings.Platform.Timeout > 0)
	positive("Platform.WatchWait", settings.Platform.WatchWait > 0)
	positive("Platform.ListEvery", settings.Platform.ListEvery > 0)
	positive("Query.DefaultTimeout", settings.Query.DefaultTimeout > 0)
	positive("Query.MaxTimeout", settings.Query.MaxTimeout > 0)
	positive("Query.AckTimeout", settings.Query.AckTimeout > 0)
	positive("Admission.QueueLimit", settings.Admission.QueueLimit > 0)
	positive("Admission.QueueTarget", settings.Admission.QueueTarget > 0)
	positive("Member.ProbeEvery", settings.Member.ProbeEvery > 0)
	positive("Member.ProbeTimeout", settings.Member.ProbeTimeout > 0)
	positive("Member.SuspectFor", settings.Member.SuspectFor > 0)
	positive("Stop.DrainTimeout", settings.Stop.DrainTimeout > 0)
	if settings.Query.HedgePercent < 0 || settings.Query.HedgePercent > 100 {
		faults = append(faults, FieldError{Field: "Query.HedgePercent", Message: "it is outside 0 to 100", Fix: "write a percentage"})
	}
	if settings.Query.HedgePercentile <= 0 || settings.Query.HedgePercentile >= 100 {
		faults = append(faults, FieldError{Field: "Query.HedgePercentile", Message: "it is not between 0 and 100", Fix: "write a percentile such as 95"})
	}
	return append(faults, shareFaults(settings.Admission.Shares)...)
}

func shareFaults(shares []int) []FieldError {
	const priorities = 3
	if len(shares) != priorities {
		return []FieldError{{Field: "Admission.Shares", Message: "it has not three values", Fix: "write the shares of Urgent, Standard and Deferrable"}}
	}
	total := 0
	for _, share := range shares {
		if share < 0 {
			return []FieldError{{Field: "Admission.Shares", Message: "a share is below zero", Fix: "write shares from 0 to 100"}}
		}
		total += share
	}
	if total > 100 {
		return []FieldError{{Field: "Admission.Shares", Message: fmt.Sprintf("the shares add up to %d", total), Fix: "let them add up to 100 at most"}}
	}
	return nil
}

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

// Values of Query.Placement.
const (
	// PlacementOwner assigns each backend server to one VM of its data centre, which sends all requests to it.
	PlacementOwner = "Owner"
	// PlacementDirect lets every VM send requests to every backend server, within its share of the server's slots.
	PlacementDirect = "Direct"
)

// FieldError describes a field with an invalid value.
type FieldError struct {
	// Field is the path of the field, such as Peer.TLS.CA.
	Field string
	// Message says what is wrong with the value.
	Message string
	// Fix says how to correct the value.
	Fix string
}

// ValidationError lists all fields with invalid values.
type ValidationError struct {
	Errors []FieldError
}

// Error returns one line per field.
func (err *ValidationError) Error() string {
	lines := make([]string, len(err.Errors))
	for i, fieldError := range err.Errors {
		lines[i] = fmt.Sprintf("%s: %s (%s)", fieldError.Field, fieldError.Message, fieldError.Fix)
	}
	return strings.Join(lines, "\n")
}

// Load reads and parses a settings file. It returns a *ValidationError if fields have invalid values.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(data)
}

// Parse decodes settings, applies defaults and checks them. An unknown field is an error.
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
		return errors.Errorf("%q is not an address (write an IP address and a port, such as 10.0.0.1:8080)", text)
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

// Check returns a *ValidationError that lists all fields with invalid values, or nil if there are none.
func Check(settings Settings) error {
	fieldErrors := tagErrors(settings)
	if settings.Gateway.Enabled() {
		fieldErrors = append(fieldErrors, gatewayErrors(settings)...)
	} else {
		fieldErrors = append(fieldErrors, listenerErrors(settings)...)
	}
	fieldErrors = append(fieldErrors, rangeErrors(settings)...)
	if len(fieldErrors) == 0 {
		return nil
	}
	return &ValidationError{Errors: fieldErrors}
}

func tagErrors(settings Settings) []FieldError {
	var invalid validator.ValidationErrors
	if !errors.As(fieldValidator.Struct(settings), &invalid) {
		return nil
	}
	fieldErrors := make([]FieldError, len(invalid))
	for i, tagError := range invalid {
		fieldErrors[i] = FieldError{
			Field:   strings.TrimPrefix(tagError.Namespace(), "Settings."),
			Message: fmt.Sprintf("%q is not allowed", fmt.Sprint(tagError.Value())),
			Fix:     tagHint(tagError),
		}
	}
	return fieldErrors
}

func tagHint(tagError validator.FieldError) string {
	switch tagError.Tag() {
	case "required":
		return "set a value"
	case "url":
		return "write a URL, such as http://10.0.0.1:7000"
	case "oneof":
		return "write one of " + tagError.Param()
	default:
		return "see the settings reference"
	}
}

func listenerErrors(settings Settings) []FieldError {
	var fieldErrors []FieldError
	add := func(field, message, fix string) {
		fieldErrors = append(fieldErrors, FieldError{Field: field, Message: message, Fix: fix})
	}
	if !settings.Caller.Listen.IsValid() {
		add("Caller.Listen", "no address is set", "write an IP address and a port, such as 10.0.0.1:8080")
	}
	if !settings.Peer.Listen.IsValid() {
		add("Peer.Listen", "no address is set", "write an IP address and a port, such as 10.0.0.1:8081")
	}
	for _, file := range []struct{ field, value string }{
		{"Peer.TLS.Certificate", settings.Peer.TLS.Certificate},
		{"Peer.TLS.Key", settings.Peer.TLS.Key},
		{"Peer.TLS.CA", settings.Peer.TLS.CA},
	} {
		if file.value == "" {
			add(file.field, "no file is set", "set a PEM file; peers always use mutual TLS")
		}
	}
	callerTLS := settings.Caller.TLS
	if callerTLS.Enabled() && (callerTLS.Certificate == "" || callerTLS.Key == "" || callerTLS.CA == "") {
		add("Caller.TLS", "only some of Certificate, Key and CA are set", "set all three, or none for plain HTTP")
	}
	if !callerTLS.Enabled() && !settings.Caller.TrustCallerField {
		add("Caller.TrustCallerField", "without TLS no caller can prove its name", "set Caller.TLS, or set this field to true")
	}
	return fieldErrors
}

func gatewayErrors(settings Settings) []FieldError {
	var fieldErrors []FieldError
	gateway := settings.Gateway
	if !settings.Peer.Listen.IsValid() {
		fieldErrors = append(fieldErrors, FieldError{
			Field: "Peer.Listen", Message: "no address is set",
			Fix: "write an IP address and a port, such as 10.0.0.1:8081",
		})
	}
	if !gateway.Ready.IsValid() {
		fieldErrors = append(fieldErrors, FieldError{
			Field: "Gateway.Ready", Message: "no address is set",
			Fix: "write an IP address and a port, such as 10.0.0.1:8081",
		})
	}
	const positive, notNegative = "set a value above zero, or omit the field", "set zero or a value above, or omit the field"
	for _, bound := range []struct {
		field string
		ok    bool
		fix   string
	}{
		{"Gateway.Grace", gateway.Grace > 0, positive},
		{"Gateway.RepeatWindow", gateway.RepeatWindow > 0, positive},
		{"Gateway.MemoryMB", gateway.MemoryMB > 0, positive},
		{"Gateway.RepeatRatio", gateway.RepeatRatio >= 0, notNegative},
		{"Gateway.RepeatSlack", gateway.RepeatSlack >= 0, notNegative},
		{"Gateway.ApplyWithin", gateway.ApplyWithin > 0, positive},
		{"Gateway.DrainWithin", gateway.DrainWithin > 0, positive},
		{"Gateway.EntryGrace", gateway.EntryGrace >= 0, notNegative},
		{"Gateway.Heartbeat", gateway.Heartbeat >= 0, notNegative},
		{"Gateway.MaxDescriptors", gateway.MaxDescriptors >= 0, notNegative},
	} {
		if !bound.ok {
			fieldErrors = append(fieldErrors, FieldError{Field: bound.field, Message: "the value is out of range", Fix: bound.fix})
		}
	}
	return fieldErrors
}

// Enabled reports whether any file is set.
func (tls TLS) Enabled() bool {
	return tls.Certificate != "" || tls.Key != "" || tls.CA != ""
}

func rangeErrors(settings Settings) []FieldError {
	var fieldErrors []FieldError
	requirePositive := func(field string, ok bool) {
		if !ok {
			fieldErrors = append(fieldErrors, FieldError{
				Field: field, Message: "the value is not above zero",
				Fix: "set a value above zero, or omit the field",
			})
		}
	}
	requirePositive("Caller.MaxBody", settings.Caller.MaxBody > 0)
	requirePositive("Caller.MaxRequests", settings.Caller.MaxRequests > 0)
	requirePositive("Platform.Timeout", settings.Platform.Timeout > 0)
	requirePositive("Platform.WatchWait", settings.Platform.WatchWait > 0)
	requirePositive("Platform.ListEvery", settings.Platform.ListEvery > 0)
	requirePositive("Query.DefaultTimeout", settings.Query.DefaultTimeout > 0)
	requirePositive("Query.MaxTimeout", settings.Query.MaxTimeout > 0)
	requirePositive("Query.AckTimeout", settings.Query.AckTimeout > 0)
	requirePositive("Admission.QueueLimit", settings.Admission.QueueLimit > 0)
	requirePositive("Admission.QueueTarget", settings.Admission.QueueTarget > 0)
	requirePositive("Member.ProbeEvery", settings.Member.ProbeEvery > 0)
	requirePositive("Member.ProbeTimeout", settings.Member.ProbeTimeout > 0)
	requirePositive("Member.SuspectFor", settings.Member.SuspectFor > 0)
	requirePositive("Stop.DrainTimeout", settings.Stop.DrainTimeout > 0)
	if settings.Query.HedgePercent < 0 || settings.Query.HedgePercent > 100 {
		fieldErrors = append(fieldErrors, FieldError{
			Field: "Query.HedgePercent", Message: "the value is outside 0 to 100",
			Fix: "write a percentage",
		})
	}
	if settings.Query.HedgePercentile <= 0 || settings.Query.HedgePercentile >= 100 {
		fieldErrors = append(fieldErrors, FieldError{
			Field: "Query.HedgePercentile", Message: "the value is not between 0 and 100",
			Fix: "write a percentile such as 95",
		})
	}
	return append(fieldErrors, shareErrors(settings.Admission.Shares)...)
}

func shareErrors(shares []int) []FieldError {
	const priorityCount = 3
	if len(shares) != priorityCount {
		return []FieldError{{
			Field: "Admission.Shares", Message: "the list does not have three values",
			Fix: "write one share each for Urgent, Standard and Deferrable",
		}}
	}
	total := 0
	for _, share := range shares {
		if share < 0 {
			return []FieldError{{Field: "Admission.Shares", Message: "a share is below zero", Fix: "write shares from 0 to 100"}}
		}
		total += share
	}
	if total > 100 {
		return []FieldError{{
			Field: "Admission.Shares", Message: fmt.Sprintf("the shares add up to %d", total),
			Fix: "write shares that add up to at most 100",
		}}
	}
	return nil
}

package swapp

import (
	"reflect"

	"github.com/sycamorewall/sycamorewall/internal/swsetting"
)

// Reload takes changed settings. Gateway.Grace is in force at once; what else differs is named in the log and takes effect at
// the next start, since listeners, budgets and watches are built from it.
func (gateway *Gateway) Reload(settings swsetting.Settings) {
	parts := gateway.parts
	before := parts.Config.Settings
	parts.Grace.Store(int64(settings.Gateway.Grace))
	settings.Gateway.Grace = before.Gateway.Grace
	waiting := differences("", reflect.ValueOf(before), reflect.ValueOf(settings))
	parts.Log.Info().Strs("AtNextStart", waiting).Msg("settings reloaded")
}

// differences returns the paths of the fields in which two settings differ.
func differences(path string, before, after reflect.Value) []string {
	if before.Kind() != reflect.Struct || before.NumField() == 0 || !before.Type().Field(0).IsExported() {
		if reflect.DeepEqual(before.Interface(), after.Interface()) {
			return nil
		}
		return []string{path}
	}
	var paths []string
	for i := range before.NumField() {
		name := before.Type().Field(i).Name
		if path != "" {
			name = path + "." + name
		}
		paths = append(paths, differences(name, before.Field(i), after.Field(i))...)
	}
	return paths
}

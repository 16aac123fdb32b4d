package swapp

import (
	"reflect"

	"github.com/sycamorewall/sycamorewall/internal/swsetting"
)

// Reload applies changed settings. Only Gateway.Grace takes effect at once. Other changed settings are logged and take effect at
// the next start, because listeners, budgets and watches are built from them.
func (gateway *Gateway) Reload(settings swsetting.Settings) {
	components := gateway.components
	before := components.Config.Settings
	components.Grace.Store(int64(settings.Gateway.Grace))
	settings.Gateway.Grace = before.Gateway.Grace
	pending := changedFields("", reflect.ValueOf(before), reflect.ValueOf(settings))
	components.Log.Info().Strs("AtNextStart", pending).Msg("settings reloaded")
}

// changedFields returns the paths of the fields in which two settings differ. A struct whose first field is unexported, such as
// an address, is compared as a whole.
func changedFields(path string, before, after reflect.Value) []string {
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
		paths = append(paths, changedFields(name, before.Field(i), after.Field(i))...)
	}
	return paths
}

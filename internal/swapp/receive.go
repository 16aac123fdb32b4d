package swapp

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swedit"
	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swgateway"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/internal/swroute"
	"github.com/sycamorewall/sycamorewall/platform"
)

// keepsConfig reports whether a configuration stays although another one, or none, arrived in its place: a confirmed version holds until a
// newer one is confirmed, also for VMs that start after the store came back from an older copy.
func keepsConfig(held, arrived *swplatform.Object) bool {
	if held.Name != platform.ConfigName {
		return false
	}
	heldTable, err := platform.DecodeConfig(held.Value)
	if err != nil {
		return false
	}
	if arrived.Deleted {
		return true
	}
	arrivedTable, err := platform.DecodeConfig(arrived.Value)
	return err != nil || arrivedTable.Version < heldTable.Version
}

// receiveConfig applies the configuration in a change if it is newer than the one in force.
func receiveConfig(routes *swroute.ActiveTable, quotas *swgateway.Quotas, change swfollow.Change, log zerolog.Logger) {
	for _, object := range change.Objects {
		if object.Name != platform.ConfigName || object.Deleted {
			continue
		}
		table, err := platform.DecodeConfig(object.Value)
		if err != nil {
			log.Error().Err(err).Object("Position", object.Position).Msg("invalid configuration, the last good one stays in force")
			continue
		}
		quotas.Apply(time.Now(), table)
		if routes.UpdateIfNewer(table) {
			log.Info().Uint64("Config", table.Version).Int("Routes", table.Len()).Object("Position", object.Position).Msg("configuration in force")
			logTenants(table, log)
		}
	}
}

// maxLoggedTenants bounds the names of tenants in one line of the log.
const maxLoggedTenants = 20

// logTenants logs which tenants of a table cannot be told apart or named. Keys do not appear in the log.
func logTenants(table *swroute.Table, log zerolog.Logger) {
	if count, names := table.AmbiguousKeys(); count > 0 {
		log.Error().Uint64("Config", table.Version).Int("Keys", count).Int("Tenants", len(names)).Strs("Names", names[:min(len(names), maxLoggedTenants)]).
			Msg("keys that several tenants hold are refused")
	}
	if count := table.UnnamedTenants(); count > 0 {
		log.Error().Uint64("Config", table.Version).Int("Tenants", count).Msg("tenants whose name cannot be sent in a header are refused")
	}
}

// receiveRules applies the rules in a change, and calls onLost with what the store holds instead if it has lost the rules in force. If the
// rules were deleted or are invalid, the last valid ones stay in force: a mistake in the store must not let requests pass that the rules
// refuse. A VM that has no rules yet is not ready while the stored rules are invalid.
func receiveRules(rules *activeRules, change swfollow.Change, onLost func(stored swplatform.Object), log zerolog.Logger) {
	objects := slices.DeleteFunc(slices.Clone(change.Objects), func(object swplatform.Object) bool { return object.Name != rulesObject })
	if change.Full && len(objects) == 0 {
		objects = append(objects, swplatform.Object{Name: rulesObject, Position: change.Position, Deleted: true})
	}
	for _, object := range objects {
		held, inForce := rules.inForce()
		if inForce && keepsRules(&held, &object) {
			log.Warn().Object("Position", object.Position).Msg("the platform's store has lost the rules in force; they stay in force")
			onLost(object)
			continue
		}
		if object.Deleted {
			if inForce {
				log.Error().Msg("the rules were deleted, the last ones stay in force")
			}
			continue
		}
		versioned, err := swedit.DecodeVersionedValue(object.Value)
		if err == nil {
			err = rules.set(versioned.Version, versioned.Value, object)
		}
		if err != nil {
			log.Error().Err(err).Object("Position", object.Position).Msg("invalid rules, the last good ones stay in force")
			return
		}
		log.Info().Uint64("Rules", versioned.Version).Object("Position", object.Position).Msg("rules in force")
	}
	rules.synced.Store(true)
}

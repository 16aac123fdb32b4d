package swapp

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swfeed"
	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swmetric"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/internal/swreplica"
	"github.com/sycamorewall/sycamorewall/platform"
)

// returnFactor is the multiple of Gateway.EvacuateWithin over which a data centre gets its full share again. VMs learn of the end of an
// evacuation up to EvacuateWithin apart: when the last one does, the first one still withholds half, so that the load never jumps.
const returnFactor = 2

// errNoEvacuations is why a VM is not ready that might send requests to evacuated data centres.
var errNoEvacuations = errors.New("the list of evacuated data centres has not arrived on this VM yet: neither the platform nor a peer has given it")

// evacuations follows the operator's evacuations of data centres.
type evacuations struct {
	// within is the time within which this VM must obey; zero if the deployment has no evacuations.
	within time.Duration
	mirror *swfollow.Mirror[string]
	// synced is set once this VM has received the list. Until then a VM that has just started must not serve.
	synced atomic.Bool
}

func newEvacuations(config Config, replicas *swreplica.Registry, recorder *swmetric.Recorder, log zerolog.Logger) *evacuations {
	settings := config.Settings.Gateway
	followed := &evacuations{within: settings.EvacuateWithin}
	followed.mirror = swfollow.NewMirror(swfollow.MirrorConfig[string]{
		// The name alone says what the operator wants, whatever the value is.
		Decode: func(object swplatform.Object) (string, bool) { return object.Name, object.Name != "" },
		Apply: func(begun, ended []string) {
			replicas.UpdateEvacuations(begun, ended)
			inFlight := replicas.InFlightByDataCentre()
			for _, dataCentre := range begun {
				_, known := settings.Regions[dataCentre]
				recorder.CountEvent("evacuations", 1)
				log.Warn().Str("DataCentre", dataCentre).Bool("Known", known).Int("InFlight", inFlight[dataCentre]).Msg("a data centre is evacuated")
			}
			for _, dataCentre := range ended {
				log.Info().Str("DataCentre", dataCentre).Dur("ReturnOver", returnOver(config)).Msg("the evacuation of a data centre has ended")
			}
		},
		// A store that has come back from an older copy may have lost an evacuation. The operator has as long to write it again as VMs have to
		// obey it. Data centres that return late cost little.
		RemovalGrace: settings.EvacuateWithin,
	})
	return followed
}

// returnOver is RegistryConfig.ReturnOver.
func returnOver(config Config) time.Duration {
	return returnFactor * config.Settings.Gateway.EvacuateWithin
}

// kinds returns the kind of objects to follow; none if the deployment has no evacuations.
func (evacuations *evacuations) kinds() []swfeed.Kind {
	if evacuations.within <= 0 {
		return nil
	}
	return []swfeed.Kind{{
		Name: platform.KindEvacuations, TracksReachability: true, WatchWait: evacuations.within / watchesPerDeadline,
		Receive: func(change swfollow.Change) {
			evacuations.mirror.Receive(change)
			evacuations.synced.Store(true)
		},
	}}
}

// hasSynced reports whether this VM knows which data centres are evacuated.
func (evacuations *evacuations) hasSynced() bool {
	return evacuations.within <= 0 || evacuations.synced.Load()
}

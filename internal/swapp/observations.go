package swapp

import (
	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swexchange"
	"github.com/sycamorewall/sycamorewall/internal/swfleet"
	"github.com/sycamorewall/sycamorewall/internal/swmetric"
	"github.com/sycamorewall/sycamorewall/internal/swobservation"
)

// newObservationTracker returns the tracker of what all VMs observe, or nil if the settings do not call for it.
func newObservationTracker(config Config) *swobservation.Tracker {
	if config.Settings.Gateway.ObservationInterval <= 0 {
		return nil
	}
	return swobservation.NewTracker()
}

func newExchanger(config Config, tracker *swobservation.Tracker, peers *peers, fleet *swfleet.Fleet, recorder *swmetric.Recorder,
	log zerolog.Logger,
) *swexchange.Exchanger {
	return swexchange.New(swexchange.Config{
		Tracker: tracker, View: fleet.View, Peers: peers, Interval: config.Settings.Gateway.ObservationInterval,
		CountEvent: recorder.CountEvent, Log: log,
	})
}

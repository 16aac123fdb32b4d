package swapp

import (
	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swlistener"
	"github.com/sycamorewall/sycamorewall/internal/swmetric"
)

const (
	// clientMemoryFraction is the fraction of the process's memory that clients may take together. With that of responses and the
	// collector's limit, it leaves a quarter of the heap for everything else.
	clientMemoryFraction = 1.0 / 4
	// clientDescriptorFraction is the fraction of the file descriptors for the connections of clients. A search may need a connection to each
	// of 54 shards, so that the other half is for replicas, peers, probes and the platform.
	clientDescriptorFraction = 1.0 / 2
)

func newClientGuard(config Config, recorder *swmetric.Recorder, log zerolog.Logger) *swlistener.Guard {
	return swlistener.NewGuard(swlistener.Config{
		Memory: config.Settings.Gateway.MemoryBytes(clientMemoryFraction), CountEvent: recorder.CountEvent, Log: log,
	})
}

// maxClients returns the number of connections that clients may have open together; zero if it is not bounded.
func maxClients(config Config) int {
	descriptors := config.Settings.Gateway.MaxDescriptors
	if descriptors <= 0 {
		return 0
	}
	return max(1, int(clientDescriptorFraction*float64(descriptors)))
}

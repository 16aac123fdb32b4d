package swreplica

import (
	"context"

	"github.com/pkg/errors"
)

// Fault is what prevented the sending of an attempt. Only that of the replica says something about the replica.
type Fault int

// Faults, in the order of their numbers between VMs.
const (
	// FaultUnknown is that nothing prevented it, or that it was not said what did.
	FaultUnknown Fault = 0
	// FaultReplica is that the replica accepts no connection or leaves, as found by a VM that reaches others in its data centre.
	FaultReplica Fault = 1
	// FaultLinks is that this VM does not reach the data centre of the replica.
	FaultLinks Fault = 2
	// FaultRelay is that the VM that was to relay the attempt does not reach the data centre, or serves no others now.
	FaultRelay Fault = 3
	// FaultRefused is that the relay did not take this attempt, such as for a replica that it does not know.
	FaultRefused Fault = 4
)

// String returns the name of the fault; empty for FaultUnknown.
func (fault Fault) String() string {
	names := [...]string{"", "Replica", "Links", "Relay", "Refused"}
	if fault < 0 || int(fault) >= len(names) {
		return ""
	}
	return names[fault]
}

// faultOf returns what prevented a connection to the replica. It waits while this VM's links are being checked.
func (replica *Replica) faultOf(ctx context.Context, err error) Fault {
	if errors.Is(err, errRetired) || errors.Is(err, errEvacuated) {
		return FaultUnknown
	}
	replica.AwaitReach(ctx)
	if replica.place.mayConnect() {
		return FaultReplica
	}
	return FaultLinks
}

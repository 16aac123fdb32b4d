package swlabsoak

import (
	"context"
	"slices"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swtimer"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabrule"
)

// kindEvacuations is the kind of the objects that ask that a data centre be empty.
const kindEvacuations = "evacuations"

// startEvacuation asks that a data centre be empty, and reports whether that was not asked already.
func (fleet *fleet) startEvacuation(dataCentre string) (bool, error) {
	recorder := fleet.results.recorder
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	if recorder.evacuated(dataCentre) {
		return false, nil
	}
	if err := fleet.store.Put(kindEvacuations, dataCentre, struct{}{}); err != nil {
		return false, err
	}
	recorder.facts.Evacuations = append(recorder.facts.Evacuations, swlabrule.Evacuation{DataCentre: dataCentre, From: time.Now()})
	return true, nil
}

// endEvacuation lets requests go to a data centre again.
func (fleet *fleet) endEvacuation(dataCentre string) {
	recorder := fleet.results.recorder
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	for i := range recorder.facts.Evacuations {
		if evacuation := &recorder.facts.Evacuations[i]; evacuation.DataCentre == dataCentre && evacuation.Until.IsZero() {
			evacuation.Until = time.Now()
		}
	}
	fleet.store.Delete(kindEvacuations, dataCentre)
}

// evacuated reports whether a data centre is to be empty. The caller holds the mutex.
func (recorder *recorder) evacuated(dataCentre string) bool {
	return slices.ContainsFunc(recorder.facts.Evacuations, func(evacuation swlabrule.Evacuation) bool {
		return evacuation.DataCentre == dataCentre && evacuation.Until.IsZero()
	})
}

// writeEvacuationsAgain writes or deletes the evacuations of which the store may have lost a change, as the operator does.
func (fleet *fleet) writeEvacuationsAgain() error {
	recorder := fleet.results.recorder
	if !recorder.has(swlabrule.Evacuations) {
		return nil
	}
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	for _, dataCentre := range dataCentres {
		if !recorder.evacuated(dataCentre) {
			fleet.store.Delete(kindEvacuations, dataCentre)
		} else if err := fleet.store.Put(kindEvacuations, dataCentre, struct{}{}); err != nil {
			return err
		}
	}
	return nil
}

// evacuate empties a data centre until some time after it must be empty.
func (fleet *fleet) evacuate(ctx context.Context, dataCentre string) error {
	started, err := fleet.startEvacuation(dataCentre)
	if err != nil || !started {
		return err
	}
	_ = swtimer.Wait(ctx, evacuateWithin+inFlight+evacuatedFor)
	fleet.endEvacuation(dataCentre)
	return nil
}

// checkEvacuation evacuates a data centre while no fault is injected, so that the rule is checked for all VMs and for health probes.
func (fleet *fleet) checkEvacuation(ctx context.Context, results *results) {
	if !results.recorder.has(swlabrule.Evacuations) {
		return
	}
	if err := fleet.evacuate(ctx, dataCentres[0]); err != nil {
		results.addViolation("EVACUATED: evacuation not written: %v", err)
	}
	// The replicas may be cold and come back gradually.
	_ = swtimer.Wait(ctx, warmUp)
}

package swadmission

import (
	"math"

	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// AllCohorts is the threshold that admits all cohorts.
const AllCohorts = math.MaxUint16

// Report lists which cohorts the queues of an owner's backend servers admit. Owners add it to their replies. It omits
// servers that shed nothing, so it is usually empty.
type Report struct {
	Servers []ServerReport `cbor:"1,keyasint,omitempty"`
}

// ServerReport describes which cohorts one backend server's queue admits.
type ServerReport struct {
	Server string `cbor:"1,keyasint"`
	// Admitted holds the threshold of each priority: work with a lower cohort is admitted. AllCohorts sheds nothing.
	Admitted [swrule.Priorities]uint16 `cbor:"2,keyasint"`
	// Callers lists the callers whose load exceeds their fair share. Admitted applies to all others.
	Callers []CallerReport `cbor:"3,keyasint,omitempty"`
}

// CallerReport holds the admission threshold of one caller in one priority.
type CallerReport struct {
	Priority swrule.Priority `cbor:"1,keyasint"`
	Caller   string          `cbor:"2,keyasint"`
	Admitted uint16          `cbor:"3,keyasint"`
}

// admitted returns the cohort below which the caller's work of this priority is admitted.
func (report *ServerReport) admitted(priority swrule.Priority, caller string) uint16 {
	for i := range report.Callers {
		if report.Callers[i].Priority == priority && report.Callers[i].Caller == caller {
			return report.Callers[i].Admitted
		}
	}
	return report.Admitted[priority]
}

// Report returns the cohorts that the queue admits, or false if it sheds nothing.
func (queue *Queue) Report(server string) (ServerReport, bool) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	report := ServerReport{Server: server}
	shedding := false
	for i := range queue.shedders {
		priority := swrule.Priority(i)
		threshold, callers := queue.shedders[i].report(priority)
		report.Admitted[i] = threshold
		report.Callers = append(report.Callers, callers...)
		shedding = shedding || threshold < AllCohorts
	}
	return report, shedding || len(report.Callers) > 0
}

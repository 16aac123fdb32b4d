package swadmission

import (
	"math"

	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// AllCohorts is the admitted fraction that sheds nothing.
const AllCohorts = math.MaxUint16

// Report is what the owner of backend servers adds to its replies: which cohorts their queues still admit. Servers that
// shed nothing are left out, so the report is empty in calm times.
type Report struct {
	Servers []ServerReport `cbor:"1,keyasint,omitempty"`
}

// ServerReport tells what one backend server's queue admits.
type ServerReport struct {
	Server string `cbor:"1,keyasint"`
	// Admitted holds for each priority the cohort below which work is admitted; AllCohorts sheds nothing.
	Admitted [swrule.Priorities]uint16 `cbor:"2,keyasint"`
	// Callers lists the callers whose load exceeds their fair share; Admitted holds for all others.
	Callers []CallerReport `cbor:"3,keyasint,omitempty"`
}

// CallerReport tells what a backend server's queue admits of one caller in one priority.
type CallerReport struct {
	Priority swrule.Priority `cbor:"1,keyasint"`
	Caller   string          `cbor:"2,keyasint"`
	Admitted uint16          `cbor:"3,keyasint"`
}

// admitted returns the cohort below which the caller's work of the priority is admitted.
func (report *ServerReport) admitted(priority swrule.Priority, caller string) uint16 {
	for i := range report.Callers {
		if report.Callers[i].Priority == priority && report.Callers[i].Caller == caller {
			return report.Callers[i].Admitted
		}
	}
	return report.Admitted[priority]
}

// Report returns what the queue admits, and false when it sheds nothing.
func (queue *Queue) Report(server string) (ServerReport, bool) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	report := ServerReport{Server: server}
	shedding := false
	for i := range queue.shedders {
		priority := swrule.Priority(i)
		common, callers := queue.shedders[i].report(priority)
		report.Admitted[i] = common
		report.Callers = append(report.Callers, callers...)
		shedding = shedding || common < AllCohorts
	}
	return report, shedding || len(report.Callers) > 0
}

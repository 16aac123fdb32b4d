package swrule

import "fmt"

// Priority orders requests; those with a lower value go first.
type Priority int

// The priorities, most urgent first.
const (
	Urgent     Priority = 0
	Standard   Priority = 1
	Deferrable Priority = 2
	// Priorities is the number of priorities.
	Priorities = 3
)

var priorityNames = [Priorities]string{"Urgent", "Standard", "Deferrable"}

// String returns the priority's name.
func (priority Priority) String() string {
	if priority < 0 || int(priority) >= len(priorityNames) {
		return fmt.Sprintf("Priority(%d)", int(priority))
	}
	return priorityNames[priority]
}

// MarshalText encodes the name.
func (priority Priority) MarshalText() ([]byte, error) {
	return []byte(priority.String()), nil
}

// UnmarshalText decodes a name.
func (priority *Priority) UnmarshalText(text []byte) error {
	for i, name := range priorityNames {
		if name == string(text) {
			*priority = Priority(i)
			return nil
		}
	}
	return fmt.Errorf("priority %q is not one of Urgent, Standard, Deferrable", text)
}

package swroute

import "sync/atomic"

// ActiveTable holds the table in force. Its version never decreases, in whatever order tables arrive. The zero value holds no
// table.
type ActiveTable struct {
	current atomic.Pointer[Table]
}

// Current returns the table in force, or nil while there is none.
func (activeTable *ActiveTable) Current() *Table {
	return activeTable.current.Load()
}

// UpdateIfNewer puts a table in force if its version is higher than that of the table in force, and reports whether it did.
func (activeTable *ActiveTable) UpdateIfNewer(table *Table) bool {
	for {
		inForce := activeTable.current.Load()
		if inForce != nil && inForce.Version >= table.Version {
			return false
		}
		if activeTable.current.CompareAndSwap(inForce, table) {
			return true
		}
	}
}

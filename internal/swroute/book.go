package swroute

import "sync/atomic"

// Book holds the table in force. Versions only ever grow, whatever order they arrive in. The zero value is empty.
type ActiveTable struct {
	current atomic.Pointer[Table]
}

// Current returns the table in force, or nil while there is none.
func (activeTable *ActiveTable) Current() *Table {
	return activeTable.current.Load()
}

// Offer puts a table in force when its version is higher than the one in force, and reports whether it did.
func (activeTable *ActiveTable) UpdateIfNewer(table *Table) bool {
	for {
		present := activeTable.current.Load()
		if present != nil && present.Version >= table.Version {
			return false
		}
		if activeTable.current.CompareAndSwap(present, table) {
			return true
		}
	}
}

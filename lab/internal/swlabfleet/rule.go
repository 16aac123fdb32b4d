package swlabfleet

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	kindRules = "Rules"
	nameRules = "main"
	// maxEdits bounds the edit IDs kept in the rules object.
	maxEdits = 32
)

// RuleChange is one accepted version of the rule file.
type RuleChange struct {
	Version uint64
	At      time.Time
}

// ruleEdit is an entry in the history of the rules object.
type ruleEdit struct {
	ID string
	By string
	At time.Time
}

// ruleObject is the value of the rules object. Edits are newest first.
type ruleObject struct {
	Text  string
	Edits []ruleEdit
}

// SetRules writes a new version of the rule file to the platform.
func (fleet *Fleet) SetRules(text string) error {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	var current ruleObject
	if object, ok := fleet.Platform.Get(kindRules, nameRules); ok {
		if err := json.Unmarshal(object.Value, &current); err != nil {
			return err
		}
	}
	edit := ruleEdit{ID: fmt.Sprintf("lab-%d", len(fleet.rules)), By: "lab", At: time.Now()}
	current.Text = text
	current.Edits = append([]ruleEdit{edit}, current.Edits...)
	current.Edits = current.Edits[:min(len(current.Edits), maxEdits)]
	object, err := fleet.Platform.Put(kindRules, nameRules, current)
	if err != nil {
		return err
	}
	fleet.rules = append(fleet.rules, RuleChange{Version: uint64(object.Version), At: time.Now()})
	return nil
}

// RuleChanges returns the versions of the rule file written so far, oldest first.
func (fleet *Fleet) RuleChanges() []RuleChange {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return append([]RuleChange(nil), fleet.rules...)
}

package swlabfleet

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	kindRules = "Rules"
	nameRules = "main"
	// editsKept is the number of edit IDs in the rules object.
	maxEdits = 32
)

// RuleChange is one accepted version of the rule file.
type RuleChange struct {
	Version uint64
	At      time.Time
}

// ruleEdit and ruleObject are the value of the rules object.
type ruleEdit struct {
	ID string
	By string
	At time.Time
}

type ruleObject struct {
	Text  string
	Edits []ruleEdit
}

// SetRules writes a new version of the rule file.
func (fleet *Fleet) SetRules(text string) error {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	var present ruleObject
	if object, ok := fleet.Platform.Get(kindRules, nameRules); ok {
		if err := json.Unmarshal(object.Value, &present); err != nil {
			return err
		}
	}
	edit := ruleEdit{ID: fmt.Sprintf("lab-%d", len(fleet.rules)), By: "lab", At: time.Now()}
	present.Text = text
	present.Edits = append([]ruleEdit{edit}, present.Edits...)
	present.Edits = present.Edits[:min(len(present.Edits), maxEdits)]
	object, err := fleet.Platform.Put(kindRules, nameRules, present)
	if err != nil {
		return err
	}
	fleet.rules = append(fleet.rules, RuleChange{Version: uint64(object.Version), At: time.Now()})
	return nil
}

// RuleChanges returns the accepted versions, oldest first.
func (fleet *Fleet) RuleChanges() []RuleChange {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return append([]RuleChange(nil), fleet.rules...)
}

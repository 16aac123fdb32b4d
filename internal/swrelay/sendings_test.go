package swrelay

import (
	"strconv"
	"testing"
	"time"
)

// TestSendingsAreForgottenBeforeFarDeadlines guards against a VM that runs out of memory because clients name deadlines days ahead.
func TestSendingsAreForgottenBeforeFarDeadlines(t *testing.T) {
	var table sendingTable
	now := time.Now()
	deadline := now.Add(24 * time.Hour)
	running, _ := table.begin(now, "running", deadline)
	for i := range 1000 {
		_, end := table.begin(now, strconv.Itoa(i), deadline)
		end(now)
	}
	again, end := table.begin(now.Add(sendingsLifetime/2), "7", deadline)
	if kept, _ := table.begin(now.Add(sendingsLifetime/2), "7", deadline); kept != again {
		t.Error("two attempts of a request don't share their sendings")
	}
	end(now)
	now = now.Add(2 * sendingsLifetime)
	if kept, _ := table.begin(now, "running", deadline); kept != running {
		t.Error("the sendings of an attempt in progress are forgotten")
	}
	if kept, _ := table.begin(now, "7", deadline); kept != again {
		t.Error("the sendings of a request are forgotten while one of two attempts is in progress")
	}
	if got := len(table.byID); got != 2 {
		t.Errorf("%d requests are kept, want 2", got)
	}
}

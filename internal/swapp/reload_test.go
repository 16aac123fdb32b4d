package swapp

import (
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swsetting"
)

func TestChangedFieldsReturnsThePathsOfFields(t *testing.T) {
	before, after := swsetting.Defaults(), swsetting.Defaults()
	after.Gateway.RepeatRatio = 0.3
	after.Admission.Shares = []int{1, 2, 3}
	after.Name = "other"
	got := changedFields("", reflect.ValueOf(before), reflect.ValueOf(after))
	if diff := cmp.Diff([]string{"Name", "Gateway.RepeatRatio", "Admission.Shares"}, got); diff != "" {
		t.Error("fields (-want +got):\n" + diff)
	}
}

package swmember_test

import (
	"fmt"

	"github.com/sycamorewall/sycamorewall/internal/swmember"
)

// Of two records with the same topic and key, the one with the higher version wins, regardless of their order.
func ExampleRecordStore_Put() {
	recordStore := swmember.NewRecordStore(swmember.RecordStoreConfig{})
	fmt.Println(recordStore.Put(swmember.Record{Topic: swmember.TopicDocument, Key: "Rules/main", Version: 7}))
	fmt.Println(recordStore.Put(swmember.Record{Topic: swmember.TopicDocument, Key: "Rules/main", Version: 6}))
	record, _ := recordStore.Get(swmember.TopicDocument, "Rules/main")
	fmt.Println(record.Version)
	// Output:
	// true
	// false
	// 7
}

// Suspect and leaving members come after those that accept new work.
func ExampleView_Owners() {
	self := swmember.Member{Name: "vm-1", DataCentre: "auckland-1"}
	leaving := swmember.Member{Name: "vm-2", DataCentre: "auckland-1", State: swmember.Leaving}
	view := swmember.NewView(self, []swmember.Member{leaving, self})
	for _, member := range view.Owners("auckland-1", "server-1") {
		fmt.Println(member.Name, member.State)
	}
	// Output:
	// vm-1 Alive
	// vm-2 Leaving
}

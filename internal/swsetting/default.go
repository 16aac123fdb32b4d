package swsetting

import "time"

// Defaults returns the defaults of fields that the settings file does not set.
func Defaults() Settings {
	return Settings{
		Gateway: Gateway{
			Grace:        10 * time.Second,
			RepeatRatio:  0.1,
			RepeatSlack:  10,
			MemoryMB:     512,
			RepeatWindow: 10 * time.Second,
			ApplyWithin:  4 * time.Second,
			DrainWithin:  3 * time.Second,
			EntryGrace:   2200 * time.Millisecond,
		},
		Caller: Caller{
			MaxBody:     64 << 10,
			MaxRequests: 4096,
		},
		Platform: Platform{
			Timeout:   2 * time.Second,
			WatchWait: 20 * time.Second,
			ListEvery: 5 * time.Second,
		},
		Query: Query{
			Placement:       PlacementOwner,
			DefaultTimeout:  2 * time.Second,
			MaxTimeout:      time.Minute,
			HedgePercent:    5,
			HedgePercentile: 98,
			AckTimeout:      100 * time.Millisecond,
		},
		Admission: Admission{
			Shares:       []int{50, 20, 10},
			QueueLimit:   64,
			QueueTarget:  20 * time.Millisecond,
			ShedByCohort: true,
		},
		Member: Member{
			ProbeEvery:   time.Second,
			ProbeTimeout: 250 * time.Millisecond,
			SuspectFor:   2 * time.Second,
		},
		Stop: Stop{
			BalancerWait: 3 * time.Second,
			DrainTimeout: 30 * time.Second,
		},
		Log: Log{Level: "info"},
	}
}

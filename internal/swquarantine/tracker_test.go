package swquarantine

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swmember"
)

const (
	bad     uint64 = 0xbad
	popular uint64 = 0x900d
)

func check(t *testing.T, what string, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// fakeBoards are the boards of several VMs. A record reaches the other boards after a delay.
type fakeBoards struct {
	delay time.Duration
	mutex sync.Mutex
	all   []*fakeBoard
}

type fakeBoard struct {
	boards  *fakeBoards
	records map[string]swmember.Record
	receive []func(swmember.Record)
}

func (boards *fakeBoards) add() *fakeBoard {
	board := &fakeBoard{boards: boards, records: make(map[string]swmember.Record)}
	boards.mutex.Lock()
	defer boards.mutex.Unlock()
	boards.all = append(boards.all, board)
	return board
}

func (board *fakeBoard) Put(record swmember.Record) bool {
	board.boards.mutex.Lock()
	all := board.boards.all
	board.boards.mutex.Unlock()
	for _, other := range all {
		if other == board {
			other.take(record)
			continue
		}
		time.AfterFunc(board.boards.delay, func() { other.take(record) })
	}
	return true
}

func (board *fakeBoard) take(record swmember.Record) {
	board.boards.mutex.Lock()
	present, ok := board.records[record.Key]
	accepted := !ok || record.Version > present.Version
	if accepted {
		board.records[record.Key] = record
	}
	subscribers := board.receive
	board.boards.mutex.Unlock()
	if !accepted {
		return
	}
	for _, receive := range subscribers {
		receive(record)
	}
}

func (board *fakeBoard) Get(_, key string) (swmember.Record, bool) {
	board.boards.mutex.Lock()
	defer board.boards.mutex.Unlock()
	record, ok := board.records[key]
	return record, ok
}

func (board *fakeBoard) Records(string) []swmember.Record {
	board.boards.mutex.Lock()
	defer board.boards.mutex.Unlock()
	var records []swmember.Record
	for _, record := range board.records {
		records = append(records, record)
	}
	return records
}

func (board *fakeBoard) Subscribe(_ string, receive func(swmember.Record)) {
	board.boards.mutex.Lock()
	defer board.boards.mutex.Unlock()
	board.receive = append(board.receive, receive)
}

func newRegisters(boards *fakeBoards, count int) []*Tracker {
	registers := make([]*Tracker, count)
	for i := range registers {
		registers[i] = New(Config{Name: fmt.Sprint("vm", i), Records: boards.add()})
	}
	return registers
}

func TestTwoDeathsQuarantineEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registers := newRegisters(&fakeBoards{delay: 100 * time.Millisecond}, 3)
		check(t, "before", Allowed, registers[2].Check(bad, false))
		registers[0].RecordCrash("s1", []uint64{bad})
		check(t, "after one death", Canary, registers[0].Check(bad, false))
		check(t, "no retry", false, registers[0].MayRetry(bad))
		registers[1].RecordCrash("s2", []uint64{bad})
		time.Sleep(time.Second)
		for _, tracker := range registers {
			check(t, "after two deaths", Refused, tracker.Check(bad, false))
			check(t, "released by a rule", Allowed, tracker.Check(bad, true))
		}
		suspects := []Suspect{{Fingerprint: "0000000000000bad", Quarantined: true, Deaths: 2, Score: 1.904, Since: 900 * time.Millisecond}}
		check(t, "status", suspects, registers[2].Suspects())
	})
}

func TestNewVMLearnsQuarantineFromBoard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		boards := &fakeBoards{}
		first := newRegisters(boards, 1)[0]
		late := boards.add()
		first.RecordCrash("s1", []uint64{bad})
		first.RecordCrash("s2", []uint64{bad})
		time.Sleep(time.Second)
		check(t, "verdict", Refused, New(Config{Name: "late", Records: late}).Check(bad, false))
	})
}

func TestInnocentsAreNotQuarantined(t *testing.T) {
	tests := []struct {
		name string
		// deaths plays what happens; the innocent fingerprint is popular.
		deaths func(tracker *Tracker)
		bad    Verdict
	}{
		{"a known request beside a query of death in every fan-out", func(tracker *Tracker) {
			tracker.RecordAnswer(popular)
			for i := range 10 {
				tracker.RecordCrash(fmt.Sprint("s", i), []uint64{bad, popular})
			}
		}, Refused},
		{"an unknown request beside a query of death in one fan-out", func(tracker *Tracker) {
			for i := range 10 {
				tracker.RecordCrash(fmt.Sprint("s", i), []uint64{bad, popular})
			}
			tracker.RecordCrash("s11", []uint64{bad})
		}, Refused},
		{"an unknown request whose resend completes", func(tracker *Tracker) {
			for i := range 5 {
				tracker.RecordCrash(fmt.Sprint("s", i), []uint64{bad, popular})
				time.Sleep(episodeLength)
				tracker.RecordCompletion(popular)
			}
		}, Refused},
		{"a server that dies by itself again and again", func(tracker *Tracker) {
			for range 20 {
				tracker.RecordAnswer(popular)
				tracker.RecordCrash("s1", []uint64{popular})
				time.Sleep(time.Minute)
				tracker.RecordCompletion(popular)
			}
		}, Allowed},
		{"two servers that die by themselves at once", func(tracker *Tracker) {
			tracker.RecordAnswer(popular)
			tracker.RecordCrash("s1", []uint64{popular})
			tracker.RecordCrash("s2", []uint64{popular})
		}, Canary},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tracker := New(Config{Name: "vm"})
				test.deaths(tracker)
				check(t, "innocent quarantined", false, tracker.Check(popular, false) == Refused)
				check(t, "innocent may retry", true, tracker.MayRetry(popular))
				check(t, "query of death", test.bad, tracker.Check(bad, false))
			})
		})
	}
}

func TestDeathsOfOneServerAloneDoNotQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := New(Config{Name: "vm"})
		for range 2 {
			tracker.RecordCrash("s1", []uint64{popular})
			time.Sleep(time.Minute)
		}
		check(t, "verdict", Canary, tracker.Check(popular, false))
	})
}

func TestCompletionDisprovesEvidenceOfOtherVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registers := newRegisters(&fakeBoards{}, 3)
		registers[0].RecordCrash("s1", []uint64{popular})
		time.Sleep(time.Second)
		registers[1].RecordCompletion(popular)
		time.Sleep(time.Second)
		registers[2].RecordCrash("s2", []uint64{popular})
		time.Sleep(time.Second)
		for _, tracker := range registers {
			check(t, "verdict", Canary, tracker.Check(popular, false))
			check(t, "score", 0.952, tracker.Suspects()[0].Score)
		}
	})
}

func TestCanaryWhileCrashIsRecent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registers := newRegisters(&fakeBoards{}, 2)
		registers[1].RecordCompletion(popular)
		registers[0].RecordCrash("s1", []uint64{bad})
		time.Sleep(time.Second)
		check(t, "unknown request", Canary, registers[1].Check(7, false))
		check(t, "known request", Allowed, registers[1].Check(popular, false))
		time.Sleep(defaultCanaryWindow)
		check(t, "unknown request later", Allowed, registers[1].Check(7, false))
	})
}

func TestQuarantineEndsWithOneTrial(t *testing.T) {
	for _, crashes := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			registers := newRegisters(&fakeBoards{delay: 50 * time.Millisecond}, 9)
			registers[0].RecordCrash("s1", []uint64{bad})
			registers[0].RecordCrash("s2", []uint64{bad})
			trials, after := 0, Refused
			for range 2 * defaultQuarantineFor / time.Second {
				time.Sleep(time.Second)
				for _, tracker := range registers {
					after = tracker.Check(bad, false)
					if after != Canary || trials > 0 {
						continue
					}
					trials++
					if crashes {
						tracker.RecordCrash("s3", []uint64{bad})
					} else {
						tracker.RecordCompletion(bad)
					}
				}
			}
			check(t, "trials", 1, trials)
			want := Allowed
			if crashes {
				want = Refused
			}
			check(t, "after the trial", want, after)
		})
	}
}

func TestSubjectsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := New(Config{Name: "vm", MaxSubjects: 10})
		tracker.RecordCrash("s1", []uint64{bad})
		tracker.RecordCrash("s2", []uint64{bad})
		for i := range uint64(100) {
			tracker.RecordCrash("s3", []uint64{1 << 20 * (i + 1)})
		}
		check(t, "subjects", 10, len(tracker.subjects))
		check(t, "quarantined stays", Refused, tracker.Check(bad, false))
	})
}

func TestKnownSetIsBoundedAndForgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known := newKnownSet(time.Minute, 64)
		known.add(1)
		time.Sleep(time.Minute)
		check(t, "in the next generation", true, known.has(1))
		time.Sleep(time.Minute)
		check(t, "two generations later", false, known.has(1))
		for i := range uint64(10000) {
			known.add(i)
		}
		held := 0
		for i := range uint64(10000) {
			if known.has(i) {
				held++
			}
		}
		check(t, "bounded", true, held <= 64)
	})
}

func ExampleFingerprint() {
	first := Fingerprint("balance-check", "ledger", "club:17  month:11")
	second := Fingerprint("balance-check", "ledger", " club:17 month:11")
	other := Fingerprint("balance-check", "ledger", "club:17", "month:11")
	fmt.Println(FormatFingerprint(first), first == second, first == other)
	// Output: 466c5ad656a9c502 true false
}

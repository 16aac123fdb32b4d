package swquery

import (
	"fmt"
	"testing"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// BenchmarkBatchBytes reports the encoded size per item of a batch and of its answers, for several batch sizes and for no hits
// and ten hits of 64 bytes per shard.
func BenchmarkBatchBytes(b *testing.B) {
	for _, items := range []int{1, 7, 50} {
		for _, hits := range []int{0, 10} {
			b.Run(fmt.Sprintf("items=%d/hits=%d", items, hits), func(b *testing.B) {
				envelope, reply := sampleMessages(items, hits)
				var sent, answered []byte
				for b.Loop() {
					sent, _ = swpeer.Marshal(envelope)
					answered, _ = swpeer.Marshal(reply)
				}
				b.ReportMetric(float64(len(sent))/float64(items), "batch-bytes/item")
				b.ReportMetric(float64(len(answered))/float64(items), "answer-bytes/item")
			})
		}
	}
}

func sampleMessages(items, hits int) (Envelope, Reply) {
	batch := &Batch{
		QueryID: 1 << 63, Caller: "treasurer-desk", Kind: "balance-check", Index: "desk", Snapshot: "s-20261204-1",
		Query: "subscriptions last month", Limit: 10, Cohort: 40000, Fingerprint: 1 << 63, Remaining: 180 * time.Millisecond,
	}
	reply := batch.reply(1<<20, nil)
	for i := range items {
		server := fmt.Sprintf("akl-1-desk-%d", i)
		batch.Items = append(batch.Items, Item{Attempt: uint64(i) << attemptBits, Shard: i, Server: server})
		answer := swbackend.Answer{Ran: swcode.RanYes, QueueWait: time.Millisecond, Service: 12 * time.Millisecond}
		for hit := range hits {
			answer.Hits = append(answer.Hits, swbackend.Hit{ID: fmt.Sprintf("entry-%d-%d", i, hit), Score: 12.5, Shard: i, Text: string(make([]byte, 40))})
		}
		reply.Answers = append(reply.Answers, ItemAnswer{
			Attempt: uint64(i) << attemptBits, Shard: i, Server: server, Answer: answer,
		})
	}
	return Envelope{ID: 1 << 20, Batch: batch}, reply
}

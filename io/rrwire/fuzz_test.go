package rrwire

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

// FuzzMessages decodes arbitrary bytes as messages from peers. No message may cause a
// panic, and a converted batch must survive a second round trip.
func FuzzMessages(f *testing.F) {
	seeds := []proto.Message{
		&Batch{From: &Origin{Entry: "e1", Life: 1}, Seq: 2, Job: "j", Patience: 1 << 31, Age: 1 << 31, Tasks: []*Task{{Index: 1, Body: []byte("x"), Size: &Size{Cores: 1}}}},
		&Progress{Code: 214, Results: []*Result{{Index: 3, Code: 100, Run: 1 << 31}}, Load: &Load{Slots: 1, Backlog: []uint64{1, 1 << 63}}},
		&Answer{Id: "j", Code: 999, Results: []*Result{nil}, After: 1 << 31},
	}
	for _, m := range seeds {
		b, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	now := time.Unix(1_700_000_000, 0)
	f.Fuzz(func(t *testing.T, in []byte) {
		var batch Batch
		if proto.Unmarshal(in, &batch) == nil {
			got := ToBatch(&batch, now)
			again := ToBatch(FromBatch(got, batch.GetLife(), now), now)
			if !reflect.DeepEqual(got, again) {
				t.Errorf("got %+v, want %+v", again, got)
			}
		}
		var progress Progress
		if proto.Unmarshal(in, &progress) == nil {
			ToLoad(progress.GetLoad())
			if got, want := len(ToResults(progress.GetResults())), len(progress.GetResults()); got != want {
				t.Errorf("got %d results, want %d", got, want)
			}
		}
		var answer Answer
		if proto.Unmarshal(in, &answer) == nil {
			ToAnswer(&answer)
		}
	})
}

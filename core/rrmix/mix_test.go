package rrmix

import (
	"math"
	"reflect"
	"testing"
	"time"
)

func TestJobs(t *testing.T) {
	for name, kinds := range map[string][]Kind{"plain": Plain(), "huge": Huge(), "agency": Agency(), "lone star": LoneStar()} {
		p := Plan{Kinds: kinds, Slots: 400, Phases: []Phase{{20 * time.Second, 0.5}, {20 * time.Second, 3}}}
		jobs := p.Jobs(1)
		if !reflect.DeepEqual(jobs, p.Jobs(1)) {
			t.Errorf("%s: got other jobs from the same seed", name)
		}
		work := make([]time.Duration, 2)
		for i, j := range jobs {
			if i > 0 && j.At < jobs[i-1].At {
				t.Errorf("%s: got job %d before its predecessor", name, i)
			}
			if n := len(j.Tasks); n < 1 || n > 1700 {
				t.Errorf("%s: got %d tasks, want 1 to 1700", name, n)
			}
			work[int(j.At/(20*time.Second))] += j.Work()
		}
		for i, want := range []float64{0.5, 3} {
			got := work[i].Seconds() / 400 / 20
			if math.Abs(got-want) > 0.1 {
				t.Errorf("%s: phase %d: got load %.2f, want %.2f", name, i, got, want)
			}
		}
	}
}

func TestDeclared(t *testing.T) {
	p := Plan{Kinds: []Kind{{Run: time.Second}, {Run: time.Second}}, Misjudge: 10}
	if got, want := p.declared(0), 10*time.Second; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	if got, want := p.declared(1), 100*time.Millisecond; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestIdeal(t *testing.T) {
	j := Job{Tasks: []Task{{Run: time.Second}, {Run: 3 * time.Second}}}
	for slots, want := range map[int]time.Duration{1: 4001 * time.Millisecond, 4: 3001 * time.Millisecond} {
		if got := j.Ideal(slots, time.Millisecond); got != want {
			t.Errorf("%d slots: got %v, want %v", slots, got, want)
		}
	}
}

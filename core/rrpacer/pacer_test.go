package rrpacer

import (
	"fmt"
	"testing"
	"time"
)

// Minions report every 1.5 s, and a reader learns of each report from answers of limited size. A
// leaving minion may get new tasks for drainMs after its report, 2 s on the smallest deployments, of
// which a start on its way takes up to 0.4 s: the report must be known within 1.6 s.
func TestReaderKeepsUp(t *testing.T) {
	const (
		reportInterval = 1500 * time.Millisecond
		maxAge         = 1600 * time.Millisecond
		callTime       = 15 * time.Millisecond
		otherCalls     = 1300 * time.Millisecond // between two calls of other readers of the store
	)
	for _, minions := range []int{48, 350, 540, 1000, 3000} {
		for _, page := range []int{100, 200, 500, 1000} {
			t.Run(fmt.Sprintf("%d minions, %d changes an answer", minions, page), func(t *testing.T) {
				p := Pacer{Interval: 900 * time.Millisecond}
				calls, at := 0, int64(0) // position of the reader, in changes
				oldest := time.Duration(0)
				lastOther := time.Duration(0)
				for now := time.Duration(0); now < 30*time.Second; {
					newest := int64(now * time.Duration(minions) / reportInterval)
					if now-lastOther > otherCalls {
						p.Observe(newest)
						lastOther = now
					}
					n := min(newest-at, int64(page))
					if n > 0 {
						oldest = max(oldest, now-time.Duration(at+1)*reportInterval/time.Duration(minions))
					}
					at += n
					calls++
					now += callTime + p.Pause(int(n), at)
				}
				if oldest > maxAge && page >= 500 {
					t.Errorf("a report was known after %v, want at most %v", oldest, maxAge)
				}
				if oldest > maxAge+otherCalls {
					t.Errorf("a report was known after %v, want at most %v with answers below the platform's size", oldest, maxAge+otherCalls)
				}
				if most := 30*2 + 30*minions*2/page; calls > most {
					t.Errorf("%d calls, want at most %d", calls, most)
				}
			})
		}
	}
}

func ExamplePacer() {
	p := Pacer{Interval: time.Second}
	fmt.Println(p.Pause(12, 100))
	fmt.Println(p.Pause(500, 600))
	p.Observe(900)
	fmt.Println(p.Pause(12, 700))
	// Output:
	// 1s
	// 0s
	// 0s
}

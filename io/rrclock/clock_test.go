package rrclock

import (
	"testing"
	"time"
)

func TestSinceBoot(t *testing.T) {
	before := SinceBoot()
	time.Sleep(20 * time.Millisecond)
	if got := SinceBoot() - before; got < 20*time.Millisecond || got > 10*time.Second {
		t.Errorf("after a pause of 20ms: got %v", got)
	}
}

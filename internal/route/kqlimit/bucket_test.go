package kqlimit

import (
	"testing"
	"time"
)

// TestOverloadNeverExceedsTheRate asks far more often than the rate allows: a
// refused call must cost nothing and must give nothing back.
func TestOverloadNeverExceedsTheRate(t *testing.T) {
	const rate, burst = 200, 40
	now := time.Unix(1_700_000_000, 0)
	b := NewBucket(now)
	b.Set(now, rate, burst)
	var admitted []time.Time
	for range 100_000 {
		now = now.Add(100 * time.Microsecond)
		if _, ok := b.Take(now); ok {
			admitted = append(admitted, now)
		}
	}
	if n := len(admitted); n < 10*rate-1 || n > 10*rate+burst {
		t.Fatalf("%d admitted in 10 s", n)
	}
	first := 0
	for i, at := range admitted {
		for at.Sub(admitted[first]) > time.Second {
			first++
		}
		if n := i - first + 1; n > rate+burst {
			t.Fatalf("%d admitted within a second", n)
		}
	}
}

func TestBucketStartsEmptyAndTellsTheWait(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	b := NewBucket(now)
	if wait, ok := b.Take(now); ok || wait != noRateWait {
		t.Fatalf("without a share: %v %v", wait, ok)
	}
	b.Set(now, 10, 5)
	wait, ok := b.Take(now)
	if ok || wait != 100*time.Millisecond {
		t.Fatalf("empty: %v %v", wait, ok)
	}
	if _, ok := b.Take(now.Add(wait)); !ok {
		t.Fatal("refused after the wait that was told")
	}
	for range 10 { // a smaller share also takes the saved burst away
		b.Set(now.Add(time.Minute), 10, 1)
	}
	b.Take(now.Add(time.Minute))
	if _, ok := b.Take(now.Add(time.Minute)); ok {
		t.Fatal("a burst above the share is left")
	}
}

func TestRetryBudget(t *testing.T) {
	b := NewRetryBudget(10)
	extra := 0
	for range 1000 {
		b.RecordFirstSend(10)
		if b.Spend(10) {
			extra++
		}
	}
	if extra < 99 || extra > 101 {
		t.Fatalf("%d extra sends of 1000 at 10 percent", extra)
	}
	if b.Spend(0) {
		t.Fatal("a contract without extra sends got one")
	}
}

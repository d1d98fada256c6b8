package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["copy"] = caseCopy }

// caseCopy: instances of a service that does not tell its load are full at times and then
// reject liveness checks like any request. A faulty one sends a copy of an answer late, at
// the point where the next answer is expected.
func caseCopy(log *record, trouble bool) (int, error) {
	config := desiredState("00000001", []string{"desk"}, route{"r-1", "/pay/", "unsafe", "1200ms", "300ms", 1, "desk", 2})
	var mu sync.Mutex
	dice := rand.New(rand.NewPCG(7, 7))
	var faulty atomic.Bool
	s, err := startSite(log, 3, 6, config, "desk", 4, func(in *instance) {
		in.tellsLoad, in.slots, in.queue = false, 4, 2
		in.work = func(*http.Request) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return time.Duration(20+dice.IntN(40)) * time.Millisecond
		}
		if trouble && (in.id == "i-1" || in.id == "i-2") { // half of them spoil 3 of 100 answers
			in.late = func(bool, int) bool {
				mu.Lock()
				defer mu.Unlock()
				return faulty.Load() && dice.Float64() < 0.03
			}
		}
	})
	if err != nil {
		return invalid, err
	}
	defer s.close()
	const times, length, pause = 8, 5 * time.Second, 2 * time.Second
	ctx, cancel := context.WithTimeout(s.ctx, times*(length+pause))
	defer cancel()
	go func() {
		for range times {
			faulty.Store(true)
			time.Sleep(length)
			faulty.Store(false)
			time.Sleep(pause)
		}
	}()
	answers := s.load(ctx, 60, 5*time.Millisecond, func() request {
		return request{newID(), "POST", "/pay/x", []byte("deposit=25"), 2500 * time.Millisecond}
	})
	time.Sleep(time.Second)
	served, twice, refused := 0, 0, 0
	for _, a := range answers {
		n := s.runs(a.id)
		if a.status == 200 {
			served++
		}
		if n > 1 {
			twice++
			log.printf("TWICE: POST %s ran %d times, status %d", a.id, n, a.status)
		}
		if n > 0 && (a.status == 503 || a.status == 429) {
			refused++
			log.printf("REFUSED: POST %s ran and was answered %d", a.id, a.status)
		}
	}
	log.say("%d payments sent, %d served; %d ran more than once, %d ran and were answered 429 or 503", len(answers), served, twice, refused)
	if twice+refused > 0 {
		return broken, nil
	}
	return held, nil
}

package workerspeed_test

import (
	"fmt"
	"testing"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/workerspeed"
)

// BenchmarkFit estimates the speeds of 540 workers from 256 runs of 13 members.
func BenchmarkFit(b *testing.B) {
	estimator := &workerspeed.Estimator{}
	observe := func(run, member int) {
		worker := fmt.Sprint((run*7 + member*41) % 540)
		estimator.Observe(workerspeed.Run{Job: fmt.Sprint(run)}, worker, 1+float64(member%3)/4)
	}
	for run := range 256 {
		for member := range 13 {
			observe(run, member)
		}
	}
	for b.Loop() {
		observe(255, 0)
		estimator.Speeds()
	}
}

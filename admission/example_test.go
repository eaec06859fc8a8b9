package admission_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lupinkeel/lupinkeel/admission"
)

// Of three requests for one free slot, the one with the most remaining time runs.
func ExampleQueue_Decide() {
	start := time.Unix(0, 0)
	q := admission.NewQueue(admission.DefaultPolicy())
	for id, target := range []time.Duration{50 * time.Millisecond, 500 * time.Millisecond, 300 * time.Millisecond} {
		q.Add(admission.Request{ID: uint64(id), Arrived: start, Due: start.Add(target), Deadline: start.Add(6 * time.Second)})
	}
	capacity := admission.Capacity{FirstEvent: 200 * time.Millisecond, SlotsInTime: 1, Slots: 1, Deciders: 1}
	for _, d := range q.Decide(start, capacity, rand.New(rand.NewPCG(1, 2))) {
		switch v := d.Verdict.(type) {
		case admission.Run:
			fmt.Println(d.ID, "runs")
		case admission.Wait:
			fmt.Println(d.ID, "waits for", v.Until.Sub(start))
		case admission.Reject:
			fmt.Println(d.ID, "is rejected:", v.Reason)
		}
	}
	// Output:
	// 1 runs
	// 2 waits for 37.5ms
	// 0 is rejected: the request can't be in time, and no slot is free for late requests
}

// A daemon that was suspended judges requests by the current time.
func ExampleQueue_Decide_suspended() {
	start := time.Unix(0, 0)
	q := admission.NewQueue(admission.DefaultPolicy())
	q.Add(admission.Request{ID: 1, Arrived: start, Due: start.Add(300 * time.Millisecond), Deadline: start.Add(6 * time.Second)})
	free := admission.Capacity{FirstEvent: 200 * time.Millisecond, SlotsInTime: 9, Slots: 9, Deciders: 1}
	for _, d := range q.Decide(start.Add(time.Hour), free, rand.New(rand.NewPCG(1, 2))) {
		if v, rejected := d.Verdict.(admission.Reject); rejected {
			fmt.Println(v.Reason)
		}
	}
	// Output: no group can serve the request before its deadline
}

package rrload

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrworkload"
)

// RoundTrips is the part of an ideal response that no scheduling can save: one
// round trip from caller to entry and one from entry to minion.
const RoundTrips = time.Millisecond

// Ratios sum up response ÷ ideal over the complete jobs of one class.
type Ratios struct {
	Class string // empty for all classes together
	Jobs  int    // submitted
	Done  int    // complete
	Mean  float64
	P50   float64
	P99   float64
}

// Outcomes counts jobs by code in ascending order.
type Outcomes struct {
	Code rrcode.Code // zero for jobs without an answer
	Jobs int
}

// Summary sums up the samples of one load.
type Summary struct {
	All     Ratios
	Classes []Ratios
	Codes   []Outcomes
}

// Summarize sums up samples of a fleet with the given slots.
func Summarize(samples []Sample, slots int) Summary {
	classes := map[string][]Sample{}
	for _, s := range samples {
		classes[s.Job.Class] = append(classes[s.Job.Class], s)
	}
	sum := Summary{All: ratios("", samples, slots), Codes: CountCodes(samples)}
	for class, part := range classes {
		sum.Classes = append(sum.Classes, ratios(class, part, slots))
	}
	slices.SortFunc(sum.Classes, func(a, b Ratios) int { return cmp.Compare(a.Class, b.Class) })
	return sum
}

func ratios(class string, samples []Sample, slots int) Ratios {
	r := Ratios{Class: class, Jobs: len(samples)}
	var list []float64
	for _, s := range samples {
		if s.Code == rrcode.Complete {
			ideal := s.Job.IdealResponseTime(slots, RoundTrips)
			list = append(list, float64(s.Response)/float64(ideal))
		}
	}
	r.Done = len(list)
	r.Mean, r.P50, r.P99 = mean(list), quantile(list, 0.5), quantile(list, 0.99)
	return r
}

// CountCodes counts the samples by code.
func CountCodes(samples []Sample) []Outcomes {
	codes := map[rrcode.Code]int{}
	for _, s := range samples {
		codes[s.Code]++
	}
	var list []Outcomes
	for code, n := range codes {
		list = append(list, Outcomes{code, n})
	}
	slices.SortFunc(list, func(a, b Outcomes) int { return cmp.Compare(a.Code, b.Code) })
	return list
}

func mean(list []float64) float64 {
	var sum float64
	for _, x := range list {
		sum += x
	}
	return sum / float64(max(len(list), 1))
}

// quantile returns the nearest rank, or zero for an empty list.
func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	rank := int(math.Ceil(q*float64(len(list)))) - 1
	return list[max(rank, 0)]
}

// Reference returns the samples of jobs whose responses came from a replay.
func Reference(jobs []rrworkload.Job, responses []time.Duration) []Sample {
	samples := make([]Sample, len(jobs))
	for i := range jobs {
		response := responses[i] + RoundTrips
		samples[i] = Sample{Job: &jobs[i], Response: response, Code: rrcode.Complete, End: jobs[i].Arrival + response}
	}
	return samples
}

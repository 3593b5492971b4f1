package rrload

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrworkload"
)

// RoundTripTime is the part of an ideal response time that scheduling can't reduce: one
// round trip from caller to entry and one from entry to minion.
const RoundTripTime = time.Millisecond

// Ratios summarizes response ÷ ideal over the complete jobs of one class.
type Ratios struct {
	Class    string // empty for all classes together
	Jobs     int    // submitted jobs
	Complete int    // jobs answered complete
	Mean     float64
	P50      float64
	P99      float64
}

// CodeCount is the number of jobs answered with a code.
type CodeCount struct {
	Code rrcode.Code // zero for jobs without an answer
	Jobs int
}

// Summary summarizes the samples of one load.
type Summary struct {
	All     Ratios
	Classes []Ratios
	Codes   []CodeCount
}

// Summarize summarizes samples of a fleet with the given number of slots. The classes
// and codes are in ascending order.
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
			ideal := s.Job.IdealResponseTime(slots, RoundTripTime)
			list = append(list, float64(s.ResponseTime)/float64(ideal))
		}
	}
	r.Complete = len(list)
	r.Mean, r.P50, r.P99 = mean(list), quantile(list, 0.5), quantile(list, 0.99)
	return r
}

// CountCodes counts the samples by code, in ascending order of the codes.
func CountCodes(samples []Sample) []CodeCount {
	codes := map[rrcode.Code]int{}
	for _, s := range samples {
		codes[s.Code]++
	}
	var list []CodeCount
	for code, n := range codes {
		list = append(list, CodeCount{code, n})
	}
	slices.SortFunc(list, func(a, b CodeCount) int { return cmp.Compare(a.Code, b.Code) })
	return list
}

func mean(list []float64) float64 {
	var sum float64
	for _, x := range list {
		sum += x
	}
	return sum / float64(max(len(list), 1))
}

// quantile returns the quantile q by the nearest-rank method, or zero for an empty
// list. It sorts the list.
func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	rank := int(math.Ceil(q*float64(len(list)))) - 1
	return list[max(rank, 0)]
}

// ReferenceSamples returns complete samples with response times from a simulation.
func ReferenceSamples(jobs []rrworkload.Job, responseTimes []time.Duration) []Sample {
	samples := make([]Sample, len(jobs))
	for i := range jobs {
		responseTime := responseTimes[i] + RoundTripTime
		samples[i] = Sample{Job: &jobs[i], ResponseTime: responseTime, Code: rrcode.Complete, AnsweredAfter: jobs[i].Arrival + responseTime}
	}
	return samples
}

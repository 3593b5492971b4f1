package rrminion

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"rattanring/core/rrdispatcher"
	"rattanring/core/rrtask"
)

const (
	pathRun      = "/run"
	pathHealth   = "/health"
	pathStop     = "/stop"
	pathThrottle = "/throttle"
)

const (
	headerTask      = "Rattanring-Task" // JOB/INDEX
	headerTenant    = "Rattanring-Tenant"
	headerClass     = "Rattanring-Class"
	headerTimeout   = "Rattanring-Patience" // milliseconds until the deadline
	headerResources = "Rattanring-Size"     // CORES,MEMORY,ACCELS: thousandths of a core, bytes, number
	headerStarted   = "Rattanring-Started"  // no: the minion refused the task
	headerDraining  = "Rattanring-Leaving"  // yes: the minion is draining
	headerUsage     = "Rattanring-Usage"    // resources in use on the worker, in the form of headerResources

	yes = "yes"
	no  = "no"
)

// noUserAgent makes the transport omit the header User-Agent.
var noUserAgent = []string{""}

// dispatchHeader returns the headers of a dispatch. The values of the usual headers
// share one array, which saves allocations.
func dispatchHeader(d rrdispatcher.Dispatch, now time.Time) http.Header {
	h := make(http.Header, 6)
	vals := make([]string, 4)
	set := func(i int, name, value string) {
		vals[i] = value
		h[name] = vals[i : i+1 : i+1]
	}
	set(0, headerTask, taskName(d.Job, d.Task.Index))
	set(1, headerTenant, d.Tenant)
	set(2, headerClass, d.Class)
	if !d.Deadline.IsZero() {
		set(3, headerTimeout, strconv.FormatInt(d.Deadline.Sub(now).Milliseconds(), 10))
	}
	if !d.Task.Resources.IsZero() {
		h[headerResources] = []string{formatResources(d.Task.Resources)}
	}
	h["User-Agent"] = noUserAgent
	return h
}

func taskName(job string, index int) string {
	return job + "/" + strconv.Itoa(index)
}

func formatResources(r rrtask.Resources) string {
	return strconv.FormatUint(uint64(r.MilliCores), 10) + "," +
		strconv.FormatUint(r.MemoryBytes, 10) + "," +
		strconv.FormatUint(uint64(r.Accelerators), 10)
}

// parseResources returns zero resources for text that is not CORES,MEMORY,ACCELS.
func parseResources(text string) rrtask.Resources {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return rrtask.Resources{}
	}
	cores, err1 := strconv.ParseUint(parts[0], 10, 32)
	memory, err2 := strconv.ParseUint(parts[1], 10, 64)
	accels, err3 := strconv.ParseUint(parts[2], 10, 32)
	if err1 != nil || err2 != nil || err3 != nil {
		return rrtask.Resources{}
	}
	return rrtask.Resources{MilliCores: uint32(cores), MemoryBytes: memory, Accelerators: uint32(accels)}
}

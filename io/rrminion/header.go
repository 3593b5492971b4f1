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
	headerTask     = "Rattanring-Task"
	headerTenant   = "Rattanring-Tenant"
	headerClass    = "Rattanring-Class"
	headerPatience = "Rattanring-Patience"
	headerSize     = "Rattanring-Size"
	headerStarted  = "Rattanring-Started"
	headerLeaving  = "Rattanring-Leaving"
	headerUsage    = "Rattanring-Usage"

	yes = "yes"
	no  = "no"
)

// userAgent makes the transport leave the header out.
var userAgent = []string{""}

func taskHeader(start rrdispatcher.Dispatch, now time.Time) http.Header {
	h := make(http.Header, 6)
	vals := make([]string, 4)
	set := func(i int, name, value string) {
		vals[i] = value
		h[name] = vals[i : i+1 : i+1]
	}
	set(0, headerTask, taskName(start.Job, start.Task.Index))
	set(1, headerTenant, start.Tenant)
	set(2, headerClass, start.Class)
	if !start.Deadline.IsZero() {
		set(3, headerPatience, strconv.FormatInt(start.Deadline.Sub(now).Milliseconds(), 10))
	}
	if !start.Task.Resources.IsZero() {
		h[headerSize] = []string{formatSize(start.Task.Resources)}
	}
	h["User-Agent"] = userAgent
	return h
}

func taskName(job string, index int) string {
	return job + "/" + strconv.Itoa(index)
}

func formatSize(s rrtask.Resources) string {
	return strconv.FormatUint(uint64(s.MilliCores), 10) + "," +
		strconv.FormatUint(s.MemoryBytes, 10) + "," +
		strconv.FormatUint(uint64(s.Accelerators), 10)
}

// parseSize returns the zero size for text that is not CORES,MEMORY,ACCELS.
func parseSize(text string) rrtask.Resources {
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

package rrworkload

import "time"

// PlainClasses returns the classes of a workload with jobs of 1 to 1,700 tasks, most of
// them small, and tasks of 50 ms to 5 s, most of them below 1 s.
func PlainClasses() []JobClass {
	tenants := []string{"north", "south", "east", "west"}
	return []JobClass{
		{Name: "small", Tenants: tenants, Weight: 60, MinTasks: 1, MaxTasks: 8, MedianRunTime: 200 * time.Millisecond, Sigma: 0.6, LongFraction: 0.02},
		{Name: "medium", Tenants: tenants, Weight: 25, MinTasks: 9, MaxTasks: 50, MedianRunTime: 350 * time.Millisecond, Sigma: 0.6, LongFraction: 0.02},
		{Name: "large", Tenants: tenants, Weight: 12, MinTasks: 51, MaxTasks: 300, MedianRunTime: 400 * time.Millisecond, Sigma: 0.6, LongFraction: 0.02},
		{Name: "huge", Tenants: tenants, Weight: 3, MinTasks: 301, MaxTasks: 1700, MedianRunTime: 300 * time.Millisecond, Sigma: 0.6, LongFraction: 0.02},
	}
}

// HugeClasses returns one class of jobs of 1,700 tasks.
func HugeClasses() []JobClass {
	return []JobClass{{Name: "huge", Tenants: []string{"north"}, Weight: 1, MinTasks: 1700, MaxTasks: 1700, MedianRunTime: 300 * time.Millisecond, Sigma: 0.6, LongFraction: 0.02}}
}

// AgencyClasses returns the classes of the client account agency: small jobs of short
// tasks (proof), large jobs with some long tasks (cut) and medium jobs (check).
func AgencyClasses() []JobClass {
	tenants := []string{"ports", "farms", "makers"}
	return []JobClass{
		{Name: "proof", Tenants: tenants, Weight: 60, MinTasks: 1, MaxTasks: 4, MedianRunTime: 120 * time.Millisecond, Sigma: 0.4},
		{Name: "cut", Tenants: tenants, Weight: 15, MinTasks: 40, MaxTasks: 600, MedianRunTime: 500 * time.Millisecond, Sigma: 0.6, LongFraction: 0.03},
		{Name: "check", Tenants: tenants, Weight: 25, MinTasks: 5, MaxTasks: 60, MedianRunTime: 250 * time.Millisecond, Sigma: 0.5, LongFraction: 0.01},
	}
}

// LoneStarClasses returns the classes of the client account Lone Star: non-idempotent
// jobs of one task (capture), medium jobs (hold) and large jobs with some long tasks
// (score).
func LoneStarClasses() []JobClass {
	tenants := []string{"austin", "dallas", "houston", "leagues"}
	return []JobClass{
		{Name: "capture", Tenants: tenants, Weight: 60, MinTasks: 1, MaxTasks: 1, MedianRunTime: 150 * time.Millisecond, Sigma: 0.5, NonIdempotent: true},
		{Name: "hold", Tenants: tenants, Weight: 25, MinTasks: 4, MaxTasks: 60, MedianRunTime: 200 * time.Millisecond, Sigma: 0.5},
		{Name: "score", Tenants: tenants, Weight: 15, MinTasks: 50, MaxTasks: 1200, MedianRunTime: 300 * time.Millisecond, Sigma: 0.6, LongFraction: 0.02},
	}
}

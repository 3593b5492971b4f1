package rrscheduler

// task is one task of a job.
type task struct {
	id                 TaskID
	run                *run // that holds capacity; nil if none
	done               bool
	failures           int    // runs that failed
	lastAttempt        int    // highest known attempt
	avoidMinion        string // minion on which the last run failed, was refused or was stopped
	stoppedAsStraggler bool   // a run of it was stopped as a straggler
}

// makeTasks makes the tasks of the body that are not known from runs, with one allocation for all of them.
func (j *job) makeTasks() {
	n := j.TaskCount()
	j.orderedTasks = make([]*task, 0, n)
	if len(j.tasks) == 0 {
		j.tasks = make(map[TaskID]*task, n)
	}
	tasks := make([]task, n)
	for ph := range j.Phases {
		for i := range j.Phases[ph].TaskCount {
			id := TaskID{Job: j.ID, Phase: ph, Index: i}
			if j.tasks[id] == nil {
				tasks[0].id = id
				j.tasks[id] = &tasks[0]
			}
			tasks = tasks[1:]
		}
	}
}

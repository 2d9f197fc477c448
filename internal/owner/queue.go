package owner

import "time"

// waitingJob is a job in the queue.
type waitingJob struct {
	id        JobID
	deadline  time.Duration
	exclusive bool
}

// jobQueue holds the jobs that wait for one target, oldest first.
type jobQueue struct {
	jobs []waitingJob
}

func (q *jobQueue) len() int {
	return len(q.jobs)
}

func (q *jobQueue) push(job waitingJob) {
	q.jobs = append(q.jobs, job)
}

func (q *jobQueue) head() (waitingJob, bool) {
	if len(q.jobs) == 0 {
		return waitingJob{}, false
	}
	return q.jobs[0], true
}

func (q *jobQueue) pop() {
	q.jobs = append(q.jobs[:0], q.jobs[1:]...)
}

// remove drops the job and reports whether it was waiting.
func (q *jobQueue) remove(id JobID) bool {
	for i, job := range q.jobs {
		if job.id == id {
			q.jobs = append(q.jobs[:i], q.jobs[i+1:]...)
			return true
		}
	}
	return false
}

// takeExpired removes and returns the jobs whose deadline has come.
func (q *jobQueue) takeExpired(now time.Duration) []JobID {
	var expired []JobID
	kept := q.jobs[:0]
	for _, job := range q.jobs {
		if job.deadline <= now {
			expired = append(expired, job.id)
			continue
		}
		kept = append(kept, job)
	}
	q.jobs = kept
	return expired
}

// earliestDeadline returns the first deadline among the waiting jobs.
func (q *jobQueue) earliestDeadline() (time.Duration, bool) {
	var earliest time.Duration
	for i, job := range q.jobs {
		if i == 0 || job.deadline < earliest {
			earliest = job.deadline
		}
	}
	return earliest, len(q.jobs) > 0
}

package owner

import "time"

type queuedJob struct {
	id        JobID
	deadline  time.Duration
	exclusive bool
}

// jobQueue is the FIFO queue of jobs for one target, oldest first.
type jobQueue struct {
	jobs []queuedJob
}

func (q *jobQueue) len() int {
	return len(q.jobs)
}

func (q *jobQueue) push(job queuedJob) {
	q.jobs = append(q.jobs, job)
}

func (q *jobQueue) head() (queuedJob, bool) {
	if len(q.jobs) == 0 {
		return queuedJob{}, false
	}
	return q.jobs[0], true
}

func (q *jobQueue) pop() {
	q.jobs = append(q.jobs[:0], q.jobs[1:]...)
}

// remove removes a job and reports whether it was queued.
func (q *jobQueue) remove(id JobID) bool {
	for i, job := range q.jobs {
		if job.id == id {
			q.jobs = append(q.jobs[:i], q.jobs[i+1:]...)
			return true
		}
	}
	return false
}

// takeExpired removes the jobs whose deadline has passed and returns their IDs.
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

// earliestDeadline returns the earliest deadline of the queued jobs, if any.
func (q *jobQueue) earliestDeadline() (time.Duration, bool) {
	var earliest time.Duration
	for i, job := range q.jobs {
		if i == 0 || job.deadline < earliest {
			earliest = job.deadline
		}
	}
	return earliest, len(q.jobs) > 0
}

package fanout

import (
	"slices"
	"time"

	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/rollout"
	"github.com/carawayreel/carawayreel/internal/routing"
)

const (
	// maxSendsPerLeg bounds the sends of one leg that reached a target, including
	// those that the target rejected as busy.
	maxSendsPerLeg = 5
	// retryBackoff is how long a leg avoids a target that did not run its attempt: about
	// the reply time of one of the requests that keep the target busy.
	retryBackoff = 25 * time.Millisecond
)

// leg is the part of a request that one service serves.
type leg struct {
	service *routing.Service
	// drawn is true once the version of the first attempt has been chosen, and choice is what
	// the leg may use during a roll-out.
	drawn  bool
	choice rollout.Choice
	reply  *backend.Reply
	// failure is the last reply that says that the target failed.
	failure  *backend.Reply
	attempts []targetAttempts
	running  int
	sends    int
	hedgeAt  time.Time
	// retryAt is when a leg that has no attempt in flight tries again; zero when no
	// retry is scheduled.
	retryAt     time.Time
	retryReason Reason
	// held is true while the leg waits until the content of the request may be sent.
	held bool
	// done is true when no further attempt will be made.
	done  bool
	cause string
}

// targetAttempts is the state of a leg's attempts at one target.
type targetAttempts struct {
	target  string
	running bool
	// mayHaveRun is true when the target may have run the request.
	mayHaveRun bool
	// notBefore is the end of the target's backoff.
	notBefore time.Time
}

func (l *leg) attemptsAt(target string) *targetAttempts {
	for i := range l.attempts {
		if l.attempts[i].target == target {
			return &l.attempts[i]
		}
	}
	return nil
}

// begin records an attempt at the target.
func (l *leg) begin(target string) {
	l.running++
	l.sends++
	if t := l.attemptsAt(target); t != nil {
		t.running = true
		return
	}
	l.attempts = append(l.attempts, targetAttempts{target: target, running: true})
}

// end records the end of an attempt. A target that did not run it gets a backoff.
func (l *leg) end(target string, mayHaveRun bool, now time.Time) {
	l.running--
	t := l.attemptsAt(target)
	t.running = false
	if mayHaveRun {
		t.mayHaveRun = true
		return
	}
	t.notBefore = now.Add(retryBackoff)
}

// leaveOut excludes a target until the given time.
func (l *leg) leaveOut(target string, until time.Time) {
	if t := l.attemptsAt(target); t != nil {
		t.notBefore = until
		return
	}
	l.attempts = append(l.attempts, targetAttempts{target: target, notBefore: until})
}

// withdraw forgets an attempt that never left for the target.
func (l *leg) withdraw(target string) {
	l.running--
	l.sends--
	l.attempts = slices.DeleteFunc(l.attempts, func(t targetAttempts) bool { return t.target == target })
}

// mayHaveRun reports whether an attempt that has ended may have run.
func (l *leg) mayHaveRun() bool {
	for i := range l.attempts {
		if l.attempts[i].mayHaveRun {
			return true
		}
	}
	return false
}

// targetCount returns the number of targets that may have run the request or may still
// run it.
func (l *leg) targetCount() int {
	n := 0
	for i := range l.attempts {
		if l.attempts[i].running || l.attempts[i].mayHaveRun {
			n++
		}
	}
	return n
}

// mayUse reports whether the target may be tried now, if at most limit targets may run
// the request. A target that may already have run it is counted once only.
func (l *leg) mayUse(target string, limit int, now time.Time) bool {
	t := l.attemptsAt(target)
	switch {
	case t == nil:
		return l.targetCount() < limit
	case t.running || now.Before(t.notBefore):
		return false
	case t.mayHaveRun:
		return true
	default:
		return l.targetCount() < limit
	}
}

// hasBackoff reports whether any target is in backoff, so that it can be tried again
// later.
func (l *leg) hasBackoff(now time.Time) bool {
	for i := range l.attempts {
		if t := &l.attempts[i]; !t.running && now.Before(t.notBefore) {
			return true
		}
	}
	return false
}

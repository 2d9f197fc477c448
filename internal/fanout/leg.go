package fanout

import (
	"time"

	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/routing"
)

const (
	// sendsPerLeg bounds the sends of one leg that reached a target, those that it
	// turned away included.
	sendsPerLeg = 5
	// turnedAwayPause is how long a target that turned an attempt away is not
	// asked again: about the reply time of one of the requests that fill it.
	turnedAwayPause = 25 * time.Millisecond
)

// leg is one service that is asked.
type leg struct {
	service *routing.Service
	reply   *backend.Reply
	// failure is the last reply that was no success.
	failure *backend.Reply
	tries   []try
	running int
	sends   int
	hedgeAt time.Time
	// waitUntil is when the leg, which has nothing running, tries again; zero when
	// it does not wait.
	waitUntil  time.Time
	waitReason Reason
	// over is true when no further attempt will be made.
	over  bool
	cause string
}

// try is what became of the attempts at one target.
type try struct {
	target  string
	running bool
	// mayHaveRun is true when the target may have run the request.
	mayHaveRun bool
	// notBefore is when the target may be asked again.
	notBefore time.Time
}

func (l *leg) try(target string) *try {
	for i := range l.tries {
		if l.tries[i].target == target {
			return &l.tries[i]
		}
	}
	return nil
}

// begin notes an attempt at the target.
func (l *leg) begin(target string) {
	l.running++
	l.sends++
	if t := l.try(target); t != nil {
		t.running = true
		return
	}
	l.tries = append(l.tries, try{target: target, running: true})
}

// end notes the end of an attempt; a target that did not run it is spared for a
// while.
func (l *leg) end(target string, mayHaveRun bool, now time.Time) {
	l.running--
	t := l.try(target)
	t.running = false
	if mayHaveRun {
		t.mayHaveRun = true
		return
	}
	t.notBefore = now.Add(turnedAwayPause)
}

// mayHaveRun reports whether an attempt that has ended may have run.
func (l *leg) mayHaveRun() bool {
	for i := range l.tries {
		if l.tries[i].mayHaveRun {
			return true
		}
	}
	return false
}

// targets counts the targets that may have run the request or may yet.
func (l *leg) targets() int {
	n := 0
	for i := range l.tries {
		if l.tries[i].running || l.tries[i].mayHaveRun {
			n++
		}
	}
	return n
}

// allows reports whether the target may be asked now, when most targets may run
// the request. A target that may have run it already is none more.
func (l *leg) allows(target string, most int, now time.Time) bool {
	t := l.try(target)
	switch {
	case t == nil:
		return l.targets() < most
	case t.running || now.Before(t.notBefore):
		return false
	case t.mayHaveRun:
		return true
	default:
		return l.targets() < most
	}
}

// awaits reports whether a target turned the request away a moment ago and can be
// asked again.
func (l *leg) awaits(now time.Time) bool {
	for i := range l.tries {
		if t := &l.tries[i]; !t.running && now.Before(t.notBefore) {
			return true
		}
	}
	return false
}

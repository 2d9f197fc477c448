package health

// Observer is notified of changes in the state of targets and failure domains. Its
// methods must not block.
type Observer interface {
	// DomainUnreachable reports that a failure domain has become unreachable, with the
	// number of its targets that did not respond.
	DomainUnreachable(failureDomain string, unresponsiveTargets int)
	// DomainReachable reports that a failure domain is reachable again.
	DomainReachable(failureDomain string)
	// TargetFailing reports that a target fails a large share of its requests, with
	// the decayed numbers of failed and all requests.
	TargetFailing(target string, failed, all float64)
}

// nopObserver is an Observer that ignores all notifications.
type nopObserver struct{}

func (nopObserver) DomainUnreachable(string, int)          {}
func (nopObserver) DomainReachable(string)                 {}
func (nopObserver) TargetFailing(string, float64, float64) {}

// Observe sets the observer. It must be called before the Tracker is used.
func (t *Tracker) Observe(o Observer) { t.observer = o }

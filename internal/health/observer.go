package health

// Observer is told when what is believed of targets changes. Its methods must not
// wait.
type Observer interface {
	// DomainCut and DomainReached tell that nothing reaches a failure domain, by
	// the number of targets without a sign, and that something does again.
	DomainCut(failureDomain string, silentTargets int)
	DomainReached(failureDomain string)
	// TargetFailing tells that a target is held to fail a good part of its
	// requests, by the weighted requests that failed and all.
	TargetFailing(target string, failed, all float64)
}

// unobserved is an Observer that ignores everything.
type unobserved struct{}

func (unobserved) DomainCut(string, int)                  {}
func (unobserved) DomainReached(string)                   {}
func (unobserved) TargetFailing(string, float64, float64) {}

// Observe sets who is told of changes. It must be called before the Board is
// used.
func (b *Board) Observe(o Observer) { b.observer = o }

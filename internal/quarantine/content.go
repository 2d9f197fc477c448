package quarantine

// Content identifies what a request asks, apart from its ID. Repeats of a request have the
// same content.
type Content struct {
	// Exact is the digest of all that the request asks.
	Exact uint64
	// Family is the digest of what a repeat keeps if it asks in another way, with another
	// query for example. It is shared by requests that differ, so that it takes more
	// evidence to hold it to crash targets. Zero means that there is no such part.
	Family uint64
}

// Scope is the part of a content that is on trial, if any.
type Scope int

const (
	// NoScope means that nothing is on trial.
	NoScope Scope = iota
	// ExactScope means that the content itself is on trial.
	ExactScope
	// FamilyScope means that all contents of the family are on trial together.
	FamilyScope
)

// String returns the name used in logs.
func (s Scope) String() string { return [...]string{"none", "content", "family"}[s] }

// part is one of the digests of a content.
type part struct {
	scope  Scope
	digest uint64
}

// parts returns the digests of the content.
func (c Content) parts() []part {
	parts := []part{{ExactScope, c.Exact}, {FamilyScope, c.Family}}
	if c.Family == 0 {
		return parts[:1]
	}
	return parts
}

// Trial is the permission to send a request whose content is on trial. The zero value is
// that of a request which needs none.
type Trial struct {
	Scope  Scope
	digest uint64
}

// Reason is why a Finding was made.
type Reason string

const (
	// LostReply means that the target seems to have crashed while it ran the content.
	LostReply Reason = "lost reply"
	// LostTrial means that this happened while the content was on trial.
	LostTrial Reason = "lost reply on trial"
	// TargetReplied means that the target has replied to a request since, on a connection
	// that a crash would have ended.
	TargetReplied Reason = "the target did not crash"
	// ContentReplied means that a target replied to the content.
	ContentReplied Reason = "reply to the content"
)

// Finding is a change in what a Guard knows about a content, for logs and for the other
// VMs.
type Finding struct {
	// Digest is that of the content or of its family, as Scope says.
	Digest uint64
	Scope  Scope
	Ref    TargetRef
	// Admission is that of the content since the change. Admitted means that a suspicion
	// was withdrawn.
	Admission Admission
	Reason    Reason
}

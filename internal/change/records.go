package change

import (
	"container/list"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Verdict states what is to be done with a submission.
type Verdict int

// The verdicts.
const (
	// VerdictRun: the first submission under the token; run the change and
	// report its end by Records.Finish.
	VerdictRun Verdict = iota + 1
	// VerdictJoin: the change is running; wait for its end.
	VerdictJoin
	// VerdictAnswer: the outcome is known and final.
	VerdictAnswer
	// VerdictRefuse: the submission ran nothing, and another one under the same
	// token may have; the outcome of the token is in the result.
	VerdictRefuse
)

// Result is the recorded state of a token.
type Result struct {
	Outcome pb.Outcome
	Reason  string
	Target  string
	// Pending is true while the change is running.
	Pending bool
}

// Reasons of refusals.
const (
	reasonOtherContent = "the token was used with different content; this submission ran nothing"
	reasonExpired      = "the token has expired; this submission ran nothing"
	reasonExpiredNever = "the token expired before the change was submitted; nothing ran"
	reasonTooFar       = "the token's expiry is too far ahead; this submission ran nothing"
	reasonFull         = "too many change records are kept; this submission ran nothing"
	reasonStopping     = "the VM is stopping; this submission ran nothing"
	reasonNoRecord     = "no record of the token is kept"
	reasonForeign      = "the token belongs to another process"
)

// Records decides what each submission of a change may do, and keeps the
// outcomes. It is a pure state machine: no goroutines, no clock of its own. It
// is not safe for concurrent use.
//
// A token moves only forward: unused, running, final. A final NOT_RUN also
// closes the token, because a delayed duplicate could otherwise run after the
// caller was told that nothing did.
type Records struct {
	own     Issuer
	issuers map[Issuer]struct{}
	// capacity is the number of records kept at most.
	capacity int
	// retention is the time a record is kept beyond its token's expiry.
	retention time.Duration
	// longest is the longest validity accepted in a token.
	longest  time.Duration
	records  map[string]*record
	byExpiry *list.List
	stopped  bool
	// latest is the latest time seen. Time never runs backwards for the records:
	// a clock that was set back must not make a dropped record look as if it had
	// never been.
	latest time.Time
}

type record struct {
	token  Token
	digest uint64
	result Result
	// element is the record's place in the order of insertion.
	element *list.Element
}

// NewRecords returns the records of one issuer. Tokens valid for longer than
// validity are refused; records are kept for validity beyond the expiry.
func NewRecords(issuer Issuer, capacity int, validity time.Duration) *Records {
	return &Records{
		own:       issuer,
		issuers:   map[Issuer]struct{}{issuer: {}},
		capacity:  capacity,
		retention: validity,
		longest:   validity,
		records:   map[string]*record{},
		byExpiry:  list.New(),
	}
}

// Serves reports whether changes under tokens of the issuer may run here.
func (r *Records) Serves(issuer Issuer) bool {
	_, ok := r.issuers[issuer]
	return ok
}

// Len returns the number of records kept.
func (r *Records) Len() int {
	return len(r.records)
}

// Submit decides on a submission of content with the digest.
func (r *Records) Submit(token Token, digest uint64, now time.Time) (Verdict, Result) {
	now = r.advance(now)
	r.expire(now)
	if !r.Serves(token.Issuer) {
		return VerdictRefuse, unknown(reasonForeign)
	}
	if known, ok := r.records[token.String()]; ok {
		return known.resubmit(digest)
	}
	if refusal, refused := r.refuse(token, now); refused {
		return VerdictRefuse, refusal
	}
	if !now.Before(token.Expires) {
		// Every change under the token would still have its record, so nothing
		// ran. The record closes the token, also for a successor whose clock is
		// behind.
		r.insert(token, digest, notRun(reasonExpiredNever))
		return VerdictAnswer, notRun(reasonExpiredNever)
	}
	r.insert(token, digest, Result{Outcome: pb.Outcome_OUTCOME_UNKNOWN, Reason: "running", Pending: true})
	return VerdictRun, Result{}
}

// refuse returns the refusal of a first submission that may not be recorded.
func (r *Records) refuse(token Token, now time.Time) (Result, bool) {
	switch {
	case !now.Before(token.Expires.Add(r.retention)):
		return unknown(reasonExpired), true
	case !now.Before(token.Expires) && token.Issuer != r.own:
		// The predecessor's clock may have been ahead and the record dropped.
		return unknown(reasonExpired), true
	case token.Expires.After(now.Add(r.longest)):
		return unknown(reasonTooFar), true
	case r.stopped:
		// The successor may still run a change under the token.
		return unknown(reasonStopping), true
	case len(r.records) >= r.capacity:
		return unknown(reasonFull), true
	default:
		return Result{}, false
	}
}

func (k *record) resubmit(digest uint64) (Verdict, Result) {
	if k.digest != digest {
		return VerdictRefuse, Result{Outcome: pb.Outcome_OUTCOME_UNKNOWN, Reason: reasonOtherContent}
	}
	if k.result.Pending {
		return VerdictJoin, k.result
	}
	return VerdictAnswer, k.result
}

// Finish records the final result of a running change. A token that is not
// running keeps its result.
func (r *Records) Finish(token Token, result Result) {
	known, ok := r.records[token.String()]
	if !ok || !known.result.Pending {
		return
	}
	result.Pending = false
	known.result = result
}

// Lookup returns what is known of a token.
func (r *Records) Lookup(token Token) Result {
	if known, ok := r.records[token.String()]; ok {
		return known.result
	}
	if !r.Serves(token.Issuer) {
		return unknown(reasonForeign)
	}
	return unknown(reasonNoRecord)
}

// Running returns the number of changes that are running.
func (r *Records) Running() int {
	running := 0
	for _, known := range r.records {
		if known.result.Pending {
			running++
		}
	}
	return running
}

// Stop refuses every new change from now on.
func (r *Records) Stop() {
	r.stopped = true
}

// Estate is an issuer with every record kept under its tokens.
type Estate struct {
	Issuer  Issuer
	Records []*pb.ChangeRecord
}

// Export returns what successors need, for each issuer apart. Changes still
// running are exported as unknown, so that nobody runs them again. Export may
// be called only after Stop.
func (r *Records) Export(now time.Time) []Estate {
	records := map[Issuer][]*pb.ChangeRecord{}
	for element := r.byExpiry.Front(); element != nil; element = element.Next() {
		kept := element.Value.(*record)
		issuer := kept.token.Issuer
		records[issuer] = append(records[issuer], kept.export(now, r.retention))
	}
	estates := make([]Estate, 0, len(r.issuers))
	for issuer := range r.issuers {
		estates = append(estates, Estate{Issuer: issuer, Records: records[issuer]})
	}
	return estates
}

func (k *record) export(now time.Time, retention time.Duration) *pb.ChangeRecord {
	left := k.token.Expires.Add(retention).Sub(now)
	return &pb.ChangeRecord{
		Token:         k.token.String(),
		ContentDigest: k.digest,
		Outcome:       k.result.Outcome,
		Reason:        k.result.Reason,
		ExpiresInMs:   uint64(max(left.Milliseconds(), 0)),
		Target:        k.result.Target,
	}
}

// Adopt takes records over from a process that has stopped, and with the last
// of them the issuer. It reports false, and changes nothing, when a record
// cannot be read or is another issuer's: running under the issuer's tokens would
// then not be safe. Adopting twice changes nothing more.
func (r *Records) Adopt(estate Estate, last bool) bool {
	if r.stopped {
		return false
	}
	tokens := make([]Token, len(estate.Records))
	for i, exported := range estate.Records {
		token, err := ParseToken(exported.Token)
		if err != nil || token.Issuer != estate.Issuer {
			return false
		}
		tokens[i] = token
	}
	for i, exported := range estate.Records {
		if _, ok := r.records[exported.Token]; ok {
			continue
		}
		r.insert(tokens[i], exported.ContentDigest, Result{
			Outcome: exported.Outcome, Reason: exported.Reason, Target: exported.Target,
		})
	}
	if last {
		r.issuers[estate.Issuer] = struct{}{}
	}
	return true
}

func (r *Records) insert(token Token, digest uint64, result Result) {
	added := &record{token: token, digest: digest, result: result}
	added.element = r.byExpiry.PushBack(added)
	r.records[token.String()] = added
}

// advance returns the time, or the latest one seen if that is later.
func (r *Records) advance(now time.Time) time.Time {
	if now.After(r.latest) {
		r.latest = now
	}
	return r.latest
}

// expire drops records whose retention is over, oldest first. Records stand in
// the order of insertion, so that a record may stay longer than its retention
// when an older one has a later expiry; the capacity bounds them all.
func (r *Records) expire(now time.Time) {
	for element := r.byExpiry.Front(); element != nil; element = r.byExpiry.Front() {
		oldest := element.Value.(*record)
		if oldest.result.Pending || now.Before(oldest.token.Expires.Add(r.retention)) {
			return
		}
		r.byExpiry.Remove(element)
		delete(r.records, oldest.token.String())
	}
}

func unknown(reason string) Result {
	return Result{Outcome: pb.Outcome_OUTCOME_UNKNOWN, Reason: reason}
}

func notRun(reason string) Result {
	return Result{Outcome: pb.Outcome_OUTCOME_NOT_RUN, Reason: reason}
}

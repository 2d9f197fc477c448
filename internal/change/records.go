package change

import (
	"container/list"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Verdict is the decision on how to handle a submission.
type Verdict int

// Verdicts of Records.Submit.
const (
	// VerdictRun: this is the first submission under the token; run the change and
	// report its result with Records.Finish.
	VerdictRun Verdict = iota + 1
	// VerdictJoin: the change is already running; wait until it finishes.
	VerdictJoin
	// VerdictAnswer: the outcome is final; return it.
	VerdictAnswer
	// VerdictRefuse: this submission ran nothing, but another one under the same
	// token may have; the result holds the token's outcome.
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

// Reasons for refused submissions and unknown outcomes.
const (
	reasonContentMismatch = "the token was used with different content; this submission ran nothing"
	reasonExpired         = "the token has expired; this submission ran nothing"
	reasonExpiredUnused   = "the token expired before the change was submitted; nothing ran"
	reasonExpiryTooFar    = "the token's expiry is too far ahead; this submission ran nothing"
	reasonFull            = "too many change records are kept; this submission ran nothing"
	reasonStopping        = "the VM is stopping; this submission ran nothing"
	reasonNoRecord        = "no record of the token is kept"
	reasonOtherIssuer     = "the token belongs to another process"
)

// Records decides how each submission of a change is handled, and keeps a change
// record with the outcome for each token. Change records are not to be confused with
// the records that changes modify. Records is a pure state machine without goroutines
// or a clock of its own. It is not safe for concurrent use.
//
// The states of a token are unused, running and final, in this order. NOT_RUN is
// final, too: a delayed duplicate could otherwise run after the caller was told
// that nothing ran.
type Records struct {
	self    Issuer
	issuers map[Issuer]struct{}
	// capacity is the maximum number of records.
	capacity int
	// retention is how long a record is kept after its token expires.
	retention time.Duration
	// maxValidity is the maximum remaining validity accepted for a token.
	maxValidity    time.Duration
	records        map[string]*changeRecord
	insertionOrder *list.List
	stopped        bool
	// latestTime is the latest time observed. Records use it as a monotonic clock, so
	// that after the system clock is set back, a dropped record is not mistaken
	// for one that never existed.
	latestTime time.Time
}

// changeRecord holds the state of one token.
type changeRecord struct {
	token  Token
	digest uint64
	result Result
	// element is the record's element in the insertion-order list.
	element *list.Element
}

// NewRecords returns empty Records that serve one issuer. Tokens that remain valid
// for longer than validity are refused. Records are kept for validity after their
// token expires.
func NewRecords(issuer Issuer, capacity int, validity time.Duration) *Records {
	return &Records{
		self:           issuer,
		issuers:        map[Issuer]struct{}{issuer: {}},
		capacity:       capacity,
		retention:      validity,
		maxValidity:    validity,
		records:        map[string]*changeRecord{},
		insertionOrder: list.New(),
	}
}

// Serves reports whether changes under the issuer's tokens may run in this process.
func (r *Records) Serves(issuer Issuer) bool {
	_, ok := r.issuers[issuer]
	return ok
}

// Len returns the number of records kept.
func (r *Records) Len() int {
	return len(r.records)
}

// Submit decides how to handle a submission of a change with the given content
// digest. The result is set unless the verdict is VerdictRun.
func (r *Records) Submit(token Token, digest uint64, now time.Time) (Verdict, Result) {
	now = r.advanceTime(now)
	r.dropExpired(now)
	if !r.Serves(token.Issuer) {
		return VerdictRefuse, unknownResult(reasonOtherIssuer)
	}
	if rec, ok := r.records[token.String()]; ok {
		return rec.decideResubmission(digest)
	}
	if refusal, refused := r.refuse(token, now); refused {
		return VerdictRefuse, refusal
	}
	if !now.Before(token.Expires) {
		// Any change run under the token would still have a record, so nothing
		// ran. The new record prevents the token from being used later, also on a
		// successor whose clock is behind.
		r.insert(token, digest, notRunResult(reasonExpiredUnused))
		return VerdictAnswer, notRunResult(reasonExpiredUnused)
	}
	r.insert(token, digest, Result{Outcome: pb.Outcome_OUTCOME_UNKNOWN, Reason: "running", Pending: true})
	return VerdictRun, Result{}
}

// refuse reports whether a first submission is refused, and with which result. A
// refused submission leaves no change record.
func (r *Records) refuse(token Token, now time.Time) (Result, bool) {
	switch {
	case !now.Before(token.Expires.Add(r.retention)):
		return unknownResult(reasonExpired), true
	case !now.Before(token.Expires) && token.Issuer != r.self:
		// The predecessor may have dropped the record because its clock was ahead.
		return unknownResult(reasonExpired), true
	case token.Expires.After(now.Add(r.maxValidity)):
		return unknownResult(reasonExpiryTooFar), true
	case r.stopped:
		// A successor may still run a change under the token.
		return unknownResult(reasonStopping), true
	case len(r.records) >= r.capacity:
		return unknownResult(reasonFull), true
	default:
		return Result{}, false
	}
}

// decideResubmission decides how to handle a further submission under the token.
func (rec *changeRecord) decideResubmission(digest uint64) (Verdict, Result) {
	if rec.digest != digest {
		return VerdictRefuse, Result{Outcome: pb.Outcome_OUTCOME_UNKNOWN, Reason: reasonContentMismatch}
	}
	if rec.result.Pending {
		return VerdictJoin, rec.result
	}
	return VerdictAnswer, rec.result
}

// Finish records the final result of a running change. It has no effect on a token
// whose change is not running.
func (r *Records) Finish(token Token, result Result) {
	rec, ok := r.records[token.String()]
	if !ok || !rec.result.Pending {
		return
	}
	result.Pending = false
	rec.result = result
}

// Lookup returns the recorded state of a token, or an unknown outcome if there is
// no record.
func (r *Records) Lookup(token Token) Result {
	if rec, ok := r.records[token.String()]; ok {
		return rec.result
	}
	if !r.Serves(token.Issuer) {
		return unknownResult(reasonOtherIssuer)
	}
	return unknownResult(reasonNoRecord)
}

// Running returns the number of running changes.
func (r *Records) Running() int {
	running := 0
	for _, rec := range r.records {
		if rec.result.Pending {
			running++
		}
	}
	return running
}

// Stop makes Submit refuse all new changes.
func (r *Records) Stop() {
	r.stopped = true
}

// Stopped reports whether Stop was called.
func (r *Records) Stopped() bool { return r.stopped }

// IssuerRecords is an issuer with the records of its tokens, for handover to a successor.
type IssuerRecords struct {
	Issuer  Issuer
	Records []*pb.ChangeRecord
}

// Export returns the records to hand over to successors, grouped by issuer.
// Changes still running are exported with an unknown outcome, so that they are not
// run again. Export must be called only after Stop.
func (r *Records) Export(now time.Time) []IssuerRecords {
	records := map[Issuer][]*pb.ChangeRecord{}
	for element := r.insertionOrder.Front(); element != nil; element = element.Next() {
		rec := element.Value.(*changeRecord)
		issuer := rec.token.Issuer
		records[issuer] = append(records[issuer], rec.export(now, r.retention))
	}
	issuerRecords := make([]IssuerRecords, 0, len(r.issuers))
	for issuer := range r.issuers {
		issuerRecords = append(issuerRecords, IssuerRecords{Issuer: issuer, Records: records[issuer]})
	}
	return issuerRecords
}

func (rec *changeRecord) export(now time.Time, retention time.Duration) *pb.ChangeRecord {
	untilDropped := rec.token.Expires.Add(retention).Sub(now)
	return &pb.ChangeRecord{
		Token:         rec.token.String(),
		ContentDigest: rec.digest,
		Outcome:       rec.result.Outcome,
		Reason:        rec.result.Reason,
		ExpiresInMs:   uint64(max(untilDropped.Milliseconds(), 0)),
		Target:        rec.result.Target,
	}
}

// Import takes over exported records from a process that has stopped. With last set,
// it also takes over the issuer, so that changes under its tokens may run in this
// process. Import returns false and changes nothing if r is stopped. It does the same
// if a record is malformed or belongs to another issuer, since a change whose record
// is missing could run again. Import is idempotent.
func (r *Records) Import(issuerRecords IssuerRecords, last bool) bool {
	if r.stopped {
		return false
	}
	tokens := make([]Token, len(issuerRecords.Records))
	for i, exported := range issuerRecords.Records {
		token, err := ParseToken(exported.Token)
		if err != nil || token.Issuer != issuerRecords.Issuer {
			return false
		}
		tokens[i] = token
	}
	for i, exported := range issuerRecords.Records {
		if _, ok := r.records[exported.Token]; ok {
			continue
		}
		r.insert(tokens[i], exported.ContentDigest, Result{
			Outcome: exported.Outcome, Reason: exported.Reason, Target: exported.Target,
		})
	}
	if last {
		r.issuers[issuerRecords.Issuer] = struct{}{}
	}
	return true
}

func (r *Records) insert(token Token, digest uint64, result Result) {
	rec := &changeRecord{token: token, digest: digest, result: result}
	rec.element = r.insertionOrder.PushBack(rec)
	r.records[token.String()] = rec
}

// advanceTime returns the later of now and the latest time observed.
func (r *Records) advanceTime(now time.Time) time.Time {
	if now.After(r.latestTime) {
		r.latestTime = now
	}
	return r.latestTime
}

// dropExpired drops records whose retention has ended, in insertion order. A record
// may be kept longer than its retention if one inserted before it expires later or
// is still running; capacity bounds the total.
func (r *Records) dropExpired(now time.Time) {
	for element := r.insertionOrder.Front(); element != nil; element = r.insertionOrder.Front() {
		oldest := element.Value.(*changeRecord)
		if oldest.result.Pending || now.Before(oldest.token.Expires.Add(r.retention)) {
			return
		}
		r.insertionOrder.Remove(element)
		delete(r.records, oldest.token.String())
	}
}

func unknownResult(reason string) Result {
	return Result{Outcome: pb.Outcome_OUTCOME_UNKNOWN, Reason: reason}
}

func notRunResult(reason string) Result {
	return Result{Outcome: pb.Outcome_OUTCOME_NOT_RUN, Reason: reason}
}

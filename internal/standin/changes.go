package standin

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
	"github.com/carawayreel/carawayreel/internal/profile"
)

// effect counts how often a token's change took effect.
type effect struct {
	service string
	count   uint32
	targets []string
}

// changeLog holds the effects of changes, which the targets of a service
// share. It is safe for concurrent use.
type changeLog struct {
	profile *profile.Profile

	mu      sync.Mutex
	effects map[string]*effect
	// holders maps the identifiers of transferred casks to their holders.
	holders map[string]string
	applied uint64
	doubled uint64
}

func newChangeLog(p *profile.Profile) *changeLog {
	return &changeLog{
		profile: p,
		effects: make(map[string]*effect),
		holders: make(map[string]string),
	}
}

// apply lets a change take effect and returns why it was rejected, or an empty
// string. A token that took effect before takes effect again, unchecked.
func (l *changeLog) apply(front, service, target string, r *pb.TargetApplyRequest) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, repeated := l.effects[r.Token]
	if !repeated {
		if reason := l.check(front, service, r.Change); reason != "" {
			return reason
		}
		known = &effect{service: service}
		l.effects[r.Token] = known
	} else {
		l.doubled++
	}
	l.applied++
	known.count++
	known.targets = append(known.targets, target)
	if transfer := r.Change.GetTransfer(); transfer != nil {
		l.holders[transfer.CaskId] = transfer.ToHolder
	}
	return ""
}

// check returns why the change does not apply, or an empty string.
func (l *changeLog) check(front, service string, change *pb.Change) string {
	id := change.GetEdit().GetRecordId() + change.GetTransfer().GetCaskId()
	if !strings.HasPrefix(id, service+":") {
		return "record " + id + " is not of service " + service
	}
	record, found := l.profile.Record(front, id, profile.NewestVersion)
	if !found {
		return "record " + id + " does not exist"
	}
	if edit := change.GetEdit(); edit != nil {
		return checkEdit(record, edit)
	}
	return l.checkTransfer(record, change.GetTransfer())
}

func checkEdit(record *pb.Row, edit *pb.RecordEdit) string {
	for _, field := range edit.Fields {
		if _, found := profile.FieldValue(record, field.Name); !found {
			return "record " + record.RecordId + " has no field " + field.Name
		}
	}
	return ""
}

func (l *changeLog) checkTransfer(record *pb.Row, transfer *pb.TitleTransfer) string {
	holder, found := profile.FieldValue(record, "holder")
	if !found {
		return "record " + record.RecordId + " has no holder"
	}
	if moved, transferred := l.holders[transfer.CaskId]; transferred {
		holder = moved
	}
	if holder != transfer.FromHolder {
		return "cask " + transfer.CaskId + " is held by " + holder
	}
	return ""
}

// totals returns the number of applications, and of those under a token that
// had taken effect before.
func (l *changeLog) totals() (applied, doubled uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.applied, l.doubled
}

// find returns the effects of a token, or of all tokens when it is empty, in
// the order of the tokens.
func (l *changeLog) find(token string) []*standinv1.Effect {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []*standinv1.Effect
	for known, e := range l.effects {
		if token != "" && token != known {
			continue
		}
		found = append(found, &standinv1.Effect{
			Token:   known,
			Service: e.service,
			Count:   e.count,
			Targets: slices.Clone(e.targets),
		})
	}
	slices.SortFunc(found, func(a, b *standinv1.Effect) int { return cmp.Compare(a.Token, b.Token) })
	return found
}

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

// effect records how often and on which targets the change of a token took effect.
type effect struct {
	service string
	count   uint32
	targets []string
}

// changeLog records the effects of changes and is shared by all targets. It is
// safe for concurrent use.
type changeLog struct {
	profile *profile.Profile

	mu      sync.Mutex
	effects map[string]*effect
	// holders maps the IDs of transferred casks to their current holders.
	holders map[string]string
	applied uint64
	// duplicates counts the applied changes whose token had taken effect before.
	duplicates uint64
}

func newChangeLog(p *profile.Profile) *changeLog {
	return &changeLog{
		profile: p,
		effects: make(map[string]*effect),
		holders: make(map[string]string),
	}
}

// apply applies a change and returns the reason if it is rejected, or an empty
// string. The change of a token that took effect before is applied again without
// validation, so that duplicate executions are counted.
func (l *changeLog) apply(front, service, target string, r *pb.TargetApplyRequest) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, exists := l.effects[r.Token]
	if !exists {
		if reason := l.validate(front, service, r.Change); reason != "" {
			return reason
		}
		e = &effect{service: service}
		l.effects[r.Token] = e
	} else {
		l.duplicates++
	}
	l.applied++
	e.count++
	e.targets = append(e.targets, target)
	if transfer := r.Change.GetTransfer(); transfer != nil {
		l.holders[transfer.CaskId] = transfer.ToHolder
	}
	return ""
}

// validate returns the reason why a change must be rejected, or an empty string.
func (l *changeLog) validate(front, service string, change *pb.Change) string {
	id := change.GetEdit().GetRecordId() + change.GetTransfer().GetCaskId()
	if !strings.HasPrefix(id, service+":") {
		return "record " + id + " is not of service " + service
	}
	record, found := l.profile.Record(front, id, profile.NewestVersion)
	if !found {
		return "record " + id + " does not exist"
	}
	if edit := change.GetEdit(); edit != nil {
		return validateEdit(record, edit)
	}
	return l.validateTransfer(record, change.GetTransfer())
}

func validateEdit(record *pb.Row, edit *pb.RecordEdit) string {
	for _, field := range edit.Fields {
		if _, found := profile.FieldValue(record, field.Name); !found {
			return "record " + record.RecordId + " has no field " + field.Name
		}
	}
	return ""
}

func (l *changeLog) validateTransfer(record *pb.Row, transfer *pb.TitleTransfer) string {
	holder, found := profile.FieldValue(record, "holder")
	if !found {
		return "record " + record.RecordId + " has no holder"
	}
	if current, transferred := l.holders[transfer.CaskId]; transferred {
		holder = current
	}
	if holder != transfer.FromHolder {
		return "cask " + transfer.CaskId + " is held by " + holder
	}
	return ""
}

// totals returns the number of applied changes and the number of duplicates among
// them.
func (l *changeLog) totals() (applied, duplicates uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.applied, l.duplicates
}

// find returns the effects of a token, or of all tokens if it is empty, sorted by
// token.
func (l *changeLog) find(token string) []*standinv1.Effect {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []*standinv1.Effect
	for effectToken, e := range l.effects {
		if token != "" && token != effectToken {
			continue
		}
		found = append(found, &standinv1.Effect{
			Token:   effectToken,
			Service: e.service,
			Count:   e.count,
			Targets: slices.Clone(e.targets),
		})
	}
	slices.SortFunc(found, func(a, b *standinv1.Effect) int { return cmp.Compare(a.Token, b.Token) })
	return found
}

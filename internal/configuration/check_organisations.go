package configuration

import (
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/organisation"
)

// checkOrganisations checks that names are valid and unique, and that each key belongs to one
// organisation.
func (k *checker) checkOrganisations(organisations []*pb.Organisation) {
	names := map[string]bool{}
	holders := map[organisation.Digest]string{}
	for _, declared := range organisations {
		name := declared.GetName()
		if err := organisation.CheckName(name); err != nil {
			k.addProblem("organisation %q: %s", name, err)
		}
		if names[name] {
			k.addProblem("organisation %q is defined twice", name)
		}
		names[name] = true
		for _, key := range declared.GetKeyDigests() {
			if len(key) != len(organisation.Digest{}) {
				k.addProblem("organisation %q: a key digest has %d bytes", name, len(key))
				continue
			}
			digest := organisation.Digest(key)
			if holder, held := holders[digest]; held {
				k.addProblem("organisations %q and %q hold the same key", holder, name)
			}
			holders[digest] = name
		}
	}
}

package organisation

import (
	"strings"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// Limits of what a route table holds, as its schema states them.
const (
	// MaxNameLength is the maximum number of characters of a name.
	MaxNameLength = 128
	// MaxKeys is the maximum number of keys of one organisation.
	MaxKeys = 1024
	// MaxOrganisations is the maximum number of organisations.
	MaxOrganisations = 100_000
)

// CheckName returns an error if the name cannot be the value of a header, which receivers
// read without the space around it, or is too long.
func CheckName(name string) error {
	switch {
	case name == "":
		return errors.New("the name is empty")
	case utf8.RuneCountInString(name) > MaxNameLength:
		return errors.Errorf("the name is longer than %d characters", MaxNameLength)
	case strings.Trim(name, " \t") != name:
		return errors.New("the name begins or ends with space")
	}
	for _, c := range []byte(name) {
		if c < ' ' && c != '\t' || c == 0x7f {
			return errors.New("the name holds a control character")
		}
	}
	return nil
}

package change

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrMalformedToken is wrapped by the errors that ParseToken returns.
var ErrMalformedToken = errors.New("malformed token")

const (
	tokenParts       = 5
	tokenRandomBytes = 12
	tokenSeparator   = "~"
)

// Issuer identifies a process that issues tokens: a VM and its incarnation. Only
// this process, or the one it handed its records over to, may run a change under
// its tokens.
type Issuer struct {
	VM            string
	FailureDomain string
	Incarnation   uint64
}

// Token is an idempotency token. It contains all data needed to find the process
// that may run the change.
type Token struct {
	Issuer Issuer
	// Expires is the time from which the token can no longer be used.
	Expires time.Time
	// Random makes the token unique.
	Random string
}

// newToken returns a token with a cryptographically random part.
func newToken(issuer Issuer, expires time.Time) (Token, error) {
	random := make([]byte, tokenRandomBytes)
	if _, err := rand.Read(random); err != nil {
		return Token{}, errors.Wrap(err, "generating the random part of a token")
	}
	return Token{Issuer: issuer, Expires: expires, Random: hex.EncodeToString(random)}, nil
}

// String returns the canonical text form of the token.
func (t Token) String() string {
	return strings.Join([]string{
		t.Issuer.VM,
		t.Issuer.FailureDomain,
		strconv.FormatUint(t.Issuer.Incarnation, 36),
		strconv.FormatInt(t.Expires.UnixMilli(), 36),
		t.Random,
	}, tokenSeparator)
}

// ParseToken parses the canonical text form of a token. Its errors wrap
// ErrMalformedToken.
func ParseToken(text string) (Token, error) {
	parts := strings.Split(text, tokenSeparator)
	if len(parts) != tokenParts || parts[0] == "" {
		return Token{}, errors.Wrapf(ErrMalformedToken, "%q", text)
	}
	incarnation, err := strconv.ParseUint(parts[2], 36, 64)
	if err != nil {
		return Token{}, errors.Wrapf(ErrMalformedToken, "incarnation %q", parts[2])
	}
	expires, err := strconv.ParseInt(parts[3], 36, 64)
	if err != nil {
		return Token{}, errors.Wrapf(ErrMalformedToken, "expiry %q", parts[3])
	}
	random, err := hex.DecodeString(parts[4])
	if err != nil || len(random) != tokenRandomBytes {
		return Token{}, errors.Wrapf(ErrMalformedToken, "random part %q", parts[4])
	}
	token := Token{
		Issuer:  Issuer{VM: parts[0], FailureDomain: parts[1], Incarnation: incarnation},
		Expires: time.UnixMilli(expires),
		Random:  parts[4],
	}
	if token.String() != text {
		return Token{}, errors.Wrap(ErrMalformedToken, "not in canonical form")
	}
	return token, nil
}

// Package auth authenticates VMs, operators and callers by short-lived JSON Web
// Tokens, signed with HMAC-SHA256 under the shared key that the settings name.
//
// Whoever holds the key can sign tokens for any role. Teams that share a deployment
// therefore get signed tokens instead of the key.
package auth

import (
	"bytes"
	"os"
	"time"

	"github.com/golang-jwt/jwt/v5"
	"github.com/pkg/errors"
)

// Role determines which calls the bearer of a token may make.
type Role string

// The roles in ascending order of permissions: each role includes the permissions of
// the ones before it.
const (
	RoleCaller   Role = "caller"
	RoleOperator Role = "operator"
	RolePeer     Role = "peer"
)

const (
	minimumKeyBytes = 16
	// clockLeeway is the tolerated clock skew between VMs.
	clockLeeway = 30 * time.Second
	// signerTokenLifetime is the lifetime of the tokens that a Signer signs for its
	// own calls.
	signerTokenLifetime = 60 * time.Second
)

// ErrDenied is the cause of every authentication failure.
var ErrDenied = errors.New("authentication failed")

// Identity is the subject and role that a token was signed for.
type Identity struct {
	Subject string
	Role    Role
}

// Allows reports whether the identity may make calls that require the role.
func (i Identity) Allows(needed Role) bool {
	return rank(i.Role) >= rank(needed)
}

// rank orders the roles by their permissions. Unknown roles rank lowest.
func rank(role Role) int {
	switch role {
	case RoleCaller:
		return 1
	case RoleOperator:
		return 2
	case RolePeer:
		return 3
	default:
		return 0
	}
}

// Key signs and verifies tokens. It is safe for concurrent use.
type Key struct {
	secret []byte
}

// LoadKey reads a key file. Leading and trailing white space is ignored.
func LoadKey(path string) (*Key, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "shared key file")
	}
	return NewKey(bytes.TrimSpace(content))
}

// NewKey returns a key, or an error if the secret has fewer than 16 bytes.
func NewKey(secret []byte) (*Key, error) {
	if len(secret) < minimumKeyBytes {
		return nil, errors.Errorf("shared key has %d bytes, fewer than %d", len(secret), minimumKeyBytes)
	}
	return &Key{secret: secret}, nil
}

type claims struct {
	jwt.RegisteredClaims
	Role Role `json:"role"`
}

// Sign returns a token for the identity that expires after the given lifetime.
func (k *Key) Sign(identity Identity, now time.Time, lifetime time.Duration) (string, error) {
	token := jwt.NewWithClaims(jwt.SigningMethodHS256, claims{
		RegisteredClaims: jwt.RegisteredClaims{
			Subject:   identity.Subject,
			IssuedAt:  jwt.NewNumericDate(now),
			ExpiresAt: jwt.NewNumericDate(now.Add(lifetime)),
		},
		Role: identity.Role,
	})
	text, err := token.SignedString(k.secret)
	return text, errors.Wrap(err, "sign token")
}

// Verify returns the identity and the expiry time of a valid token. The cause of any
// error is ErrDenied.
func (k *Key) Verify(text string, now time.Time) (Identity, time.Time, error) {
	var parsed claims
	_, err := jwt.ParseWithClaims(text, &parsed,
		func(*jwt.Token) (any, error) { return k.secret, nil },
		jwt.WithValidMethods([]string{jwt.SigningMethodHS256.Alg()}),
		jwt.WithExpirationRequired(),
		jwt.WithLeeway(clockLeeway),
		jwt.WithTimeFunc(func() time.Time { return now }),
	)
	if err != nil {
		return Identity{}, time.Time{}, errors.Wrap(ErrDenied, err.Error())
	}
	return Identity{Subject: parsed.Subject, Role: parsed.Role}, parsed.ExpiresAt.Time, nil
}

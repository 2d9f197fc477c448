// Package auth authenticates VMs, operators and callers by short-lived signed
// tokens (JSON Web Tokens, HMAC-SHA256) under a key that the settings name.
//
// Whoever holds the key can sign for any role; teams that share a deployment are
// given ready tokens instead of the key.
package auth

import (
	"bytes"
	"os"
	"time"

	"github.com/golang-jwt/jwt/v5"
	"github.com/pkg/errors"
)

// Role states what the bearer of a token may call.
type Role string

// The roles. An operator may also do what a caller may, and a peer everything.
const (
	RoleCaller   Role = "caller"
	RoleOperator Role = "operator"
	RolePeer     Role = "peer"
)

const (
	// minimumKeyBytes is the shortest key accepted.
	minimumKeyBytes = 16
	// clockLeeway is the clock difference between VMs that is tolerated.
	clockLeeway = 30 * time.Second
	// sessionLifetime is the validity of the tokens that processes sign for
	// their own calls.
	sessionLifetime = 60 * time.Second
)

// ErrDenied is the cause of every refusal.
var ErrDenied = errors.New("authentication failed")

// Identity is who a token was signed for.
type Identity struct {
	Subject string
	Role    Role
}

// Allows reports whether the identity may do what needs the role.
func (i Identity) Allows(needed Role) bool {
	return rank(i.Role) >= rank(needed)
}

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

// LoadKey reads a key file; white space around the key is ignored.
func LoadKey(path string) (*Key, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "shared key file")
	}
	return NewKey(bytes.TrimSpace(content))
}

// NewKey returns a key of at least 16 bytes.
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

// Sign returns a token for the identity, valid for the given time from now.
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

// Verify returns the identity of a valid token and when it expires. The error's
// cause is ErrDenied.
func (k *Key) Verify(text string, now time.Time) (Identity, time.Time, error) {
	var found claims
	_, err := jwt.ParseWithClaims(text, &found,
		func(*jwt.Token) (any, error) { return k.secret, nil },
		jwt.WithValidMethods([]string{jwt.SigningMethodHS256.Alg()}),
		jwt.WithExpirationRequired(),
		jwt.WithLeeway(clockLeeway),
		jwt.WithTimeFunc(func() time.Time { return now }),
	)
	if err != nil {
		return Identity{}, time.Time{}, errors.Wrap(ErrDenied, err.Error())
	}
	return Identity{Subject: found.Subject, Role: found.Role}, found.ExpiresAt.Time, nil
}

package auth

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	authorizationHeader = "Authorization"
	bearerPrefix        = "Bearer "
	// maxCachedTokens is the maximum number of verified tokens that a Middleware caches.
	maxCachedTokens = 4096
)

// Signer adds a token to each outgoing request. It is an http.RoundTripper and
// safe for concurrent use.
type Signer struct {
	next     http.RoundTripper
	key      *Key
	identity Identity

	mu      sync.Mutex
	token   string
	renewAt time.Time
}

// NewSigner returns a Signer that sends requests through next. With a nil key,
// requests are sent unchanged.
func NewSigner(next http.RoundTripper, key *Key, identity Identity) *Signer {
	return &Signer{next: next, key: key, identity: identity}
}

// RoundTrip sends the request with a token.
func (s *Signer) RoundTrip(request *http.Request) (*http.Response, error) {
	if s.key == nil {
		return s.next.RoundTrip(request)
	}
	token, err := s.current(time.Now())
	if err != nil {
		return nil, err
	}
	signed := request.Clone(request.Context())
	signed.Header.Set(authorizationHeader, bearerPrefix+token)
	return s.next.RoundTrip(signed)
}

// current returns a token that is valid for at least half of its lifetime. It signs a
// new one when needed.
func (s *Signer) current(now time.Time) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.token != "" && now.Before(s.renewAt) {
		return s.token, nil
	}
	token, err := s.key.Sign(s.identity, now, signerTokenLifetime)
	if err != nil {
		return "", err
	}
	s.token = token
	s.renewAt = now.Add(signerTokenLifetime / 2)
	return token, nil
}

// Bearer adds a fixed, already signed token to each outgoing request. It is an
// http.RoundTripper.
type Bearer struct {
	Next  http.RoundTripper
	Token string
}

// RoundTrip sends the request with the token.
func (b Bearer) RoundTrip(request *http.Request) (*http.Response, error) {
	signed := request.Clone(request.Context())
	signed.Header.Set(authorizationHeader, bearerPrefix+b.Token)
	return b.Next.RoundTrip(signed)
}

// Middleware rejects HTTP requests without a valid token. It caches
// verified tokens until they expire, so that each client costs at most a few
// signature verifications per minute.
type Middleware struct {
	key    *Key
	logger zerolog.Logger

	mu       sync.RWMutex
	verified map[string]verifiedToken
}

type verifiedToken struct {
	identity Identity
	expires  time.Time
}

// NewMiddleware returns a Middleware. With a nil key, it accepts every request.
func NewMiddleware(key *Key, logger zerolog.Logger) *Middleware {
	return &Middleware{key: key, logger: logger, verified: map[string]verifiedToken{}}
}

// Require wraps a handler so that it serves only requests whose identity has the
// needed role or a higher one. Other requests are rejected and logged.
func (m *Middleware) Require(needed Role, next http.Handler) http.Handler {
	if m.key == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		identity, err := m.authenticate(r, time.Now())
		if err == nil && identity.Allows(needed) {
			next.ServeHTTP(w, r)
			return
		}
		m.logger.Warn().Err(err).
			Str("path", r.URL.Path).
			Str("remote", r.RemoteAddr).
			Str("subject", identity.Subject).
			Str("role", string(identity.Role)).
			Str("needed", string(needed)).
			Msg("request refused by authentication")
		deny(w, err)
	})
}

// deny writes an error in the format of the connect protocol: unauthenticated if err
// is set, permission_denied otherwise.
func deny(w http.ResponseWriter, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		w.WriteHeader(http.StatusUnauthorized)
		_, _ = w.Write([]byte(`{"code":"unauthenticated","message":"authentication failed"}`))
		return
	}
	w.WriteHeader(http.StatusForbidden)
	_, _ = w.Write([]byte(`{"code":"permission_denied","message":"the role does not allow this call"}`))
}

// authenticate returns the identity of a request's bearer token, from the cache if
// possible.
func (m *Middleware) authenticate(r *http.Request, now time.Time) (Identity, error) {
	token, ok := strings.CutPrefix(r.Header.Get(authorizationHeader), bearerPrefix)
	if !ok {
		return Identity{}, ErrDenied
	}
	m.mu.RLock()
	cached, ok := m.verified[token]
	m.mu.RUnlock()
	if ok && now.Before(cached.expires) {
		return cached.identity, nil
	}
	identity, expires, err := m.key.Verify(token, now)
	if err != nil {
		return Identity{}, err
	}
	m.cacheToken(token, verifiedToken{identity: identity, expires: expires})
	return identity, nil
}

// cacheToken adds a verified token to the cache. A full cache is cleared as a whole.
func (m *Middleware) cacheToken(token string, verified verifiedToken) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.verified) >= maxCachedTokens {
		clear(m.verified)
	}
	m.verified[token] = verified
}

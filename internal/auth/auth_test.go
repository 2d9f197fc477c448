package auth_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/auth"
)

func key(t *testing.T, secret string) *auth.Key {
	t.Helper()
	k, err := auth.NewKey([]byte(secret))
	require.NoError(t, err)
	return k
}

func TestVerifyRejectsOtherKeysAndExpiredTokens(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	right, wrong := key(t, "0123456789abcdef"), key(t, "fedcba9876543210")
	token, err := right.Sign(auth.Identity{Subject: "vm-a-1", Role: auth.RolePeer}, now, time.Minute)
	require.NoError(t, err)
	identity, _, err := right.Verify(token, now)
	require.NoError(t, err)
	require.Equal(t, "vm-a-1", identity.Subject)
	_, _, err = wrong.Verify(token, now)
	require.ErrorIs(t, err, auth.ErrDenied)
	_, _, err = right.Verify(token, now.Add(time.Hour))
	require.ErrorIs(t, err, auth.ErrDenied)
}

func TestGuardRejectsAndLogs(t *testing.T) {
	var log bytes.Buffer
	served := 0
	middleware := auth.NewMiddleware(key(t, "0123456789abcdef"), zerolog.New(&log))
	handler := middleware.Require(auth.RoleOperator, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served++ }))
	server := httptest.NewServer(handler)
	defer server.Close()
	cases := []struct {
		secret string
		role   auth.Role
		status int
	}{
		{"0123456789abcdef", auth.RoleOperator, http.StatusOK},
		{"0123456789abcdef", auth.RolePeer, http.StatusOK},
		{"0123456789abcdef", auth.RoleCaller, http.StatusForbidden},
		{"fedcba9876543210", auth.RolePeer, http.StatusUnauthorized},
	}
	for _, c := range cases {
		client := &http.Client{Transport: auth.NewSigner(http.DefaultTransport, key(t, c.secret), auth.Identity{Role: c.role})}
		response, err := client.Get(server.URL)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, c.status, response.StatusCode)
	}
	require.Equal(t, 2, served)
	require.Equal(t, 2, bytes.Count(log.Bytes(), []byte("request refused")))
}

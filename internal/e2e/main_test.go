package e2e_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// testDir returns a directory for settings and logs. If CARAWAYREEL_E2E_LOGS is
// set, it is a subdirectory of that directory and is kept after the test.
func testDir(t *testing.T) string {
	t.Helper()
	base := os.Getenv("CARAWAYREEL_E2E_LOGS")
	if base == "" {
		return t.TempDir()
	}
	dir := filepath.Join(base, t.Name())
	require.NoError(t, os.RemoveAll(dir))
	require.NoError(t, os.MkdirAll(dir, 0o700))
	return dir
}
